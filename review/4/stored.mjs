/**
 * A server has left, and the store keeps that. While the store is busy, the
 * node is killed and started again, and a heartbeat from before arrives late.
 */

import {formatAnswer, sealOf} from '../lib/backend.mjs';
import {send} from '../lib/client.mjs';
import {
  BROKEN,
  createConfig,
  HELD,
  HOST,
  RESTART_DELAY_MS,
  runCase,
  sleep,
  trouble,
} from '../lib/deployment.mjs';

const CONFIG = createConfig(
  1,
  [
    {
      name: 'r-get',
      path_prefix: '/get/',
      kind: 'safe',
      timeout: '800ms',
      target_latency: '400ms',
      service: 'desk',
    },
  ],
  ['front', 'desk'],
);
const REQUEST_INTERVAL_MS = 10;
const WORK_MS = 100;
/** Bounds of the small site files, in ms. */
const DRAIN_MS = 2_000;
const STABILITY_WINDOW_MS = 3_000;
/** Times in ms, counted from the confirmation. */
const STORE_BUSY_MS = 500;
const KILL_MS = 700;
const LATE_BEAT_MS = 3_000;
const STORE_BACK_MS = 8_000;
const SERVER_END_MS = 9_000;
/** Interval in ms at which the platform asks a node whether it is ready. */
const READINESS_INTERVAL_MS = 1_000;

await runCase(
  import.meta.url,
  async deployment => {
    const {record, store} = deployment;
    await deployment.start(CONFIG, ['front', 'desk', 'desk']);
    /** Times in ms at which the leaving server began each request, by its id. */
    const runs = new Map();

    const run = (name, isLeaving) => async req => {
      const {requestId} = req;
      record(`${name}: runs ${requestId}`);
      if (isLeaving) runs.set(requestId, Date.now());
      await sleep(WORK_MS);
      return formatAnswer(
        '200 OK',
        [
          'X-Turmericmill-Request-Id',
          requestId,
          'X-Turmericmill-Response-Seal',
          sealOf(requestId, 200),
        ],
        `${name} ran ${requestId}`,
      );
    };

    const backends = await deployment.startBackends((name, index) =>
      run(name, index === 1),
    );
    const machine = deployment.machines[1];
    const leaving = backends[1];
    await sleep(2_000);

    // All clients are on the machine of the leaving server.
    let isReady = true;
    const readiness = setInterval(() => {
      void machine.isReady().then(ready => {
        if (ready !== isReady) record(`${machine.name}: ready ${ready}`);
        isReady = ready;
      });
    }, READINESS_INTERVAL_MS);
    let isSending = true;
    const results = [];
    const load = (async () => {
      while (isSending) {
        if (isReady) {
          const req = {host: HOST, path: '/get/2f', deadlineMs: 1_500};
          results.push(send(machine.callers, req));
        }
        await sleep(REQUEST_INTERVAL_MS);
      }
    })();
    await sleep(1_000);
    if (runs.size === 0) throw new Error('the leaving server got no request');

    const lateBeat = leaving.createBeat('ready');
    leaving.stopBeats();
    const status = await leaving.deregister();
    const confirmedMs = Date.now();
    record(`server i-2: deregisters, confirmed with ${status}`);
    if (status !== 200) throw new Error('no confirmation');
    const at = ms => sleep(Math.max(0, confirmedMs + ms - Date.now()));

    if (trouble) {
      await at(STORE_BUSY_MS);
      store.mode = 'busy';
      record('store: busy, refuses all calls with 503');
    }
    await at(KILL_MS);
    machine.signal('SIGKILL');
    await machine.ended;
    await sleep(RESTART_DELAY_MS);
    machine.start();
    const startedMs = Date.now();
    await at(LATE_BEAT_MS);
    const {sequence} = lateBeat;
    const lateStatus = await leaving.sendBeat(lateBeat);
    record(`server i-2: heartbeat ${sequence}, late, answered ${lateStatus}`);
    await at(STORE_BACK_MS);
    store.mode = 'ok';
    record('store: answers');
    await at(SERVER_END_MS);
    isSending = false;
    clearInterval(readiness);
    await load;
    for (const {requestId, status: answer, ended} of await Promise.all(
      results,
    )) {
      record(`client: ${requestId} ${answer ?? ended}`);
    }
    for (const backend of backends) backend.close();

    const inTouchMs = startedMs + STABILITY_WINDOW_MS;
    const fromMs = Math.max(confirmedMs + DRAIN_MS, inTouchMs);
    const late = [...runs].filter(([, runMs]) => runMs > fromMs);
    for (const [requestId, runMs] of late) {
      const afterMs = runMs - confirmedMs;
      record(`DRAIN: ${requestId} ran ${afterMs} ms after the confirmation`);
    }
    record(`${runs.size} runs at the leaving server, ${late.length} too late`);
    return late.length > 0 ? BROKEN : HELD;
  },
  'record-stored.txt',
);
