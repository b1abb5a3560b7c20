/** Directory of endpoints, for nodes that do not know any other node yet. */

import type {Endpoint} from '@turmericmill/membership';

/** Directory whose storage outlives the nodes. */
export abstract class SeedDirectory {
  /** Starts reading. Each call of `onSeeds` receives all known endpoints. */
  abstract start(onSeeds: (endpoints: Endpoint[]) => void): void;
  abstract stop(): void;
  /** Adds an endpoint. Does not retry, as callers add it again periodically. */
  abstract append(endpoint: Endpoint): void;
}
