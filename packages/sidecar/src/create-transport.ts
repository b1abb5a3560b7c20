/** Creates the transport of a node from its settings. */

import {TransportTask, type Bus} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import {MAX_PROTOCOL_VERSION, MIN_PROTOCOL_VERSION} from '@turmericmill/wire';
import type Logger from 'bunyan';

export interface TransportParts {
  bus: Bus;
  clock: Clock;
  logger: Logger;
}

/** `incarnation`: start time of the process in ms. */
export function createTransport(
  {nodeId, dataCentre, region, ip, meshPorts}: HostSettings,
  incarnation: number,
  {bus, clock, logger}: TransportParts,
): TransportTask {
  const hello = {
    minVersion: MIN_PROTOCOL_VERSION,
    maxVersion: MAX_PROTOCOL_VERSION,
    nodeId,
    incarnation,
    dataCentre,
    region,
  };
  const options = {address: ip, port: meshPorts[0], hello};
  return new TransportTask(options, bus, clock, logger);
}
