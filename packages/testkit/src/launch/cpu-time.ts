/** Reads CPU time and memory of another process on this host. */

import {readFileSync} from 'node:fs';

/** Clock ticks per second in the kernel's accounting. */
const TICKS_PER_SECOND = 100;
/** Indexes of fields in `/proc/PID/stat`, counted after the program's name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** CPU time in ms that process `pid` has used since its start. */
export function cpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * 1000) / TICKS_PER_SECOND;
}

/** Resident memory of process `pid`, in bytes. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kib = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1];
  return Number(kib ?? 0) * 1024;
}
