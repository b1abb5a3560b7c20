/**
 * A server leaves while the store is busy; its node confirms that and is then
 * restarted as planned. A heartbeat from before the confirmation arrives late.
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
const REQUEST_INTERVAL_MS = 8;
const WORK_MS = 100;
/** Bounds of the small site files, in ms. */
const DRAIN_MS = 2_000;
const STABILITY_WINDOW_MS = 3_000;
/** Time in ms from the confirmation to the planned stop of the node. */
const STOP_MS = 300;
/** Time in ms from the start of the new process to the late heartbeat. */
const LATE_BEAT_MS = 1_000;
/** Time in ms from the confirmation to the end of the server. */
const SERVER_END_MS = 12_000;
/** Time in ms for which the store is busy before the server leaves. */
const BUSY_BEFORE_MS = 500;

await runCase(import.meta.url, async deployment => {
  const {record, store} = deployment;
  await deployment.start(CONFIG, ['front', 'desk', 'desk']);
  /** Times in ms at which the leaving server began to run a request. */
  const runs = [];

  const run = (name, isLeaving) => async req => {
    const {requestId} = req;
    record(`${name}: runs ${requestId}`);
    if (isLeaving) runs.push(Date.now());
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
  const [entry, machine] = deployment.machines;
  const leaving = backends[1];
  await sleep(2_000);

  let isSending = true;
  const results = [];
  const load = (async () => {
    while (isSending) {
      const req = {host: HOST, path: '/get/2f', deadlineMs: 1_500};
      results.push(send(entry.callers, req));
      await sleep(REQUEST_INTERVAL_MS);
    }
  })();
  await sleep(1_000);
  if (runs.length === 0) throw new Error('the leaving server got no request');

  if (trouble) {
    store.mode = 'busy';
    record('store: busy, refuses all calls with 503');
  }
  await sleep(BUSY_BEFORE_MS);
  const lateBeat = leaving.createBeat('ready');
  leaving.stopBeats();
  const status = await leaving.deregister();
  const confirmedMs = Date.now();
  record(`server i-2: deregisters, confirmed with ${status}`);
  if (status !== 200) throw new Error('no confirmation');
  const at = ms => sleep(Math.max(0, confirmedMs + ms - Date.now()));

  await at(STOP_MS);
  machine.signal('SIGTERM');
  await machine.ended;
  store.mode = 'ok';
  record('store: answers');
  await sleep(RESTART_DELAY_MS);
  machine.start();
  const startedMs = Date.now();
  await sleep(LATE_BEAT_MS);
  const {sequence} = lateBeat;
  const lateStatus = await leaving.sendBeat(lateBeat);
  record(`server i-2: heartbeat ${sequence}, late, answered ${lateStatus}`);
  await at(SERVER_END_MS);
  isSending = false;
  await load;
  for (const {requestId, status: answer, ended} of await Promise.all(results)) {
    record(`client: ${requestId} ${answer ?? ended}`);
  }
  for (const backend of backends) backend.close();

  const inTouchMs = startedMs + STABILITY_WINDOW_MS;
  const fromMs = Math.max(confirmedMs + DRAIN_MS, inTouchMs);
  const late = runs.filter(runMs => runMs > fromMs);
  for (const runMs of late) {
    record(`DRAIN: a request ran ${runMs - confirmedMs} ms after confirmation`);
  }
  record(`${runs.length} runs at the leaving server, ${late.length} too late`);
  return late.length > 0 ? BROKEN : HELD;
});
