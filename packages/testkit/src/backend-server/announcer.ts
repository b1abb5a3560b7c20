/** Announces a backend server to the node on its host at an interval. */

import {Agent, request} from 'undici';

const INTERVAL_MS = 1000;
const TIMEOUT_MS = 2000;

/** States that a server can announce. */
export type AnnouncedState = 'starting' | 'ready' | 'draining';

/** Body of an announcement request. */
export interface Announcement {
  name: string;
  /** Backend server group as `team/name`. */
  group: string;
  slots: number;
  connections: number;
  address: string;
  port: number;
  state: AnnouncedState;
  incarnation: number;
}

/** Sends what `current` returns at an interval; sends nothing for undefined. */
export class Announcer {
  private readonly agent = new Agent({
    headersTimeout: TIMEOUT_MS,
    connect: {timeout: TIMEOUT_MS},
  });
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly announceUrl: string,
    private readonly current: () => Announcement | undefined,
  ) {}

  /** Sends the first announcement, then repeats it at an interval. */
  async start(): Promise<void> {
    await this.announce();
    this.timer = setInterval(() => {
      this.announce().catch(() => undefined);
    }, INTERVAL_MS);
  }

  /** Sends the current announcement, if there is one. */
  async announce(): Promise<void> {
    const announcement = this.current();
    if (!announcement) return;
    const res = await request(`${this.announceUrl}/v1/announce`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(announcement),
      dispatcher: this.agent,
    });
    await res.body.dump();
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.agent.destroy();
  }
}
