/** Index of the backend servers in a membership view. */

import type {Candidate} from '@turmericmill/routing';
import type {MemberRecord, ServerRecord} from '@turmericmill/wire';

/** Servers by group. Rebuilt with each change of the view. */
export class CandidateIndex {
  private readonly byGroup = new Map<string, Candidate[]>();

  constructor(members: readonly MemberRecord[] = []) {
    for (const member of members) {
      if (member.status === 'dead' || member.status === 'left') continue;
      for (const server of member.servers) this.add(member, server);
    }
  }

  ofGroup(group: string): readonly Candidate[] {
    return this.byGroup.get(group) ?? [];
  }

  private add(member: MemberRecord, server: ServerRecord): void {
    const candidates = this.byGroup.get(server.group) ?? [];
    candidates.push({
      nodeId: member.id,
      serverId: server.id,
      incarnation: server.incarnation,
      group: server.group,
      dataCentre: member.dataCentre,
      state: server.state,
      slots: server.slots,
      readySinceMs: server.readySinceMs,
      ...(server.version !== undefined && {version: server.version}),
    });
    this.byGroup.set(server.group, candidates);
  }
}
