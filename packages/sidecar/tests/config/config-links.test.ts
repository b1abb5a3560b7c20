import {expect} from 'chai';

import {rankNodes} from '../../src/config/source-choice.js';
import {publishedDocument} from './published-document.js';
import {
  SimulatedDataCentre,
  type DataCentreOptions,
} from './simulated-data-centre.js';

const CONFIG_IN_FORCE_MS = 2_500;
/** Time in ms after the start until all nodes have the first version. */
const SETTLE_MS = 3_000;
/** Time in ms between the two changes. */
const NEXT_CHANGE_MS = 2_000;
/** Time in ms for which connections hold messages back. */
const HELD_BACK_MS = 3_000;
const CONFIG_AIM_MS = CONFIG_IN_FORCE_MS / 2;
/** Time in ms between the changes of a series. */
const SERIES_INTERVAL_MS = 250;
const ROUTES = 1_100;
const MANY_ROUTES = 3_000;

const NODE_IDS = rankNodes(
  Array.from({length: 22}, (unused, index) => `n-${index}`),
);
const [READER_ID, SECOND_ID] = NODE_IDS as [string, string];
const LAST_ID = NODE_IDS.at(-1)!;

const OPTIONS: DataCentreOptions = {
  nodeIds: NODE_IDS,
  configInForceMs: CONFIG_IN_FORCE_MS,
  // The thinnest link, 4.9 Mbit/s.
  bytesPerMs: 612,
};

/** Changes reach every host in time although links are full or hosts gone. */
describe('distribution of a configuration over limited links', () => {
  let dataCentre: SimulatedDataCentre;

  afterEach(() => dataCentre.stop());

  async function start(options: Partial<DataCentreOptions>): Promise<void> {
    dataCentre = new SimulatedDataCentre({...OPTIONS, ...options});
    dataCentre.publish(publishedDocument(1, ROUTES));
    await dataCentre.start(SETTLE_MS);
    expect(dataCentre.behind(1)).to.deep.equal([]);
  }

  const cases: readonly [string, Partial<DataCentreOptions>][] = [
    ['all links are free', {}],
    ['bytes wait at the link of the reader', {queueMs: {[READER_ID]: 1_000}}],
    ['bytes wait at the link of another host', {queueMs: {[LAST_ID]: 800}}],
    [
      'bytes wait at the links of the reader and the next',
      {queueMs: {[READER_ID]: 1_000, [SECOND_ID]: 1_000}},
    ],
    ['the others do not know a host yet', {newIds: [LAST_ID]}],
  ];

  for (const [name, options] of cases) {
    it(`puts a change of many routes and the next in force: ${name}`, async () => {
      await start(options);
      dataCentre.publish(publishedDocument(2, MANY_ROUTES));
      await dataCentre.pass(NEXT_CHANGE_MS);
      dataCentre.publish(publishedDocument(3, MANY_ROUTES));
      await dataCentre.pass(CONFIG_IN_FORCE_MS - NEXT_CHANGE_MS);
      expect(dataCentre.behind(2)).to.deep.equal([]);
      await dataCentre.pass(NEXT_CHANGE_MS);
      expect(dataCentre.behind(3)).to.deep.equal([]);
    });
  }

  it('puts a change in force when the first eight in the order have just gone', async () => {
    await start({});
    dataCentre.kill(NODE_IDS.slice(0, 8));
    dataCentre.publish(publishedDocument(2, ROUTES + 1));
    await dataCentre.pass(CONFIG_IN_FORCE_MS);
    expect(dataCentre.behind(2)).to.deep.equal([]);
  });

  it('puts a change in force at a host whose connections hold messages back', async () => {
    await start({});
    dataCentre.holdBack(LAST_ID, HELD_BACK_MS);
    await dataCentre.pass(2 * HELD_BACK_MS);
    dataCentre.publish(publishedDocument(2, ROUTES + 1));
    await dataCentre.pass(CONFIG_IN_FORCE_MS);
    expect(dataCentre.behind(2)).to.deep.equal([]);
  });

  it('puts each change of a series in force at a host that has missed one', async () => {
    await start({queueMs: {[LAST_ID]: 1_600}});
    dataCentre.setUnreachable(LAST_ID, true);
    dataCentre.publish(publishedDocument(2, ROUTES + 1));
    await dataCentre.pass(SERIES_INTERVAL_MS);
    dataCentre.setUnreachable(LAST_ID, false);
    for (let version = 3; version < 12; version++) {
      dataCentre.publish(publishedDocument(version, ROUTES + version));
      await dataCentre.pass(SERIES_INTERVAL_MS);
      const dueVersion = version - CONFIG_AIM_MS / SERIES_INTERVAL_MS;
      expect(dataCentre.behind(dueVersion)).to.deep.equal([]);
    }
  });

  it('reads the store in one node while nothing changes', async () => {
    await start({});
    const before = dataCentre.storeCalls;
    await dataCentre.pass(10_000);
    // One long poll after the other; each waits for over half a second.
    expect(dataCentre.storeCalls - before).to.be.at.most(20);
  });
});
