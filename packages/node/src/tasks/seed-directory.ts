/** Where nodes find the endpoints of others before they have met. */

import type {Endpoint} from '@turmericmill/membership';

/** A place that outlives the nodes. */
export abstract class SeedDirectory {
  /** Begins to read; `onSeeds` gets all endpoints known by then. */
  abstract start(onSeeds: (endpoints: Endpoint[]) => void): void;
  abstract stop(): void;
  /** Enters an endpoint; a failure is left to the next turn. */
  abstract append(endpoint: Endpoint): void;
}
