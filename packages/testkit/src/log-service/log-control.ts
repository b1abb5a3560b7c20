/** HTTP control endpoint of the log stand-in. */

import {
  Err,
  JsonDocument,
  Ok,
  SchemaCheck,
  type Result,
} from '@turmericmill/utils';

import type {LogFaults} from './log-faults.js';

const COUNT = {type: 'integer', minimum: 0};

const FAULTS_CHECK = new SchemaCheck<Partial<LogFaults>>({
  type: 'object',
  additionalProperties: false,
  properties: {
    down: {type: 'boolean'},
    silent: {type: 'boolean'},
    delayMs: COUNT,
    loseAnswers: COUNT,
    loseRequests: COUNT,
    crossAnswers: {type: 'boolean'},
    maxAppendsPerSecond: COUNT,
    maxRecords: COUNT,
  },
});

/** Request to remove the records of a stream before an offset. */
export interface TrimRequest {
  stream: string;
  before: number;
}

const TRIM_CHECK = new SchemaCheck<TrimRequest>({
  type: 'object',
  additionalProperties: false,
  required: ['stream', 'before'],
  properties: {stream: {type: 'string'}, before: COUNT},
});

/** The log stand-in, as the control endpoint uses it. */
export interface LogControlTarget {
  readonly faults: LogFaults;
  readonly counts: object;
  setFaults(faults: Partial<LogFaults>): void;
  trim(request: TrimRequest): void;
}

/** Answer to a control call, or the reason for its refusal. */
export type ControlAnswer = Result<object, string>;

/**
 * Handles a control call. `GET /control` returns faults and counts, `POST
 * /control/faults` changes the given faults, `POST /control/trim` removes
 * records.
 */
export function handleControlCall(
  target: LogControlTarget,
  call: string,
  body: string,
): ControlAnswer {
  switch (call) {
    case 'GET /control':
      return Ok({faults: target.faults, counts: target.counts});
    case 'POST /control/faults':
      return parseBody(FAULTS_CHECK, body).map(faults => {
        target.setFaults(faults);
        return target.faults;
      });
    case 'POST /control/trim':
      return parseBody(TRIM_CHECK, body).map(request => {
        target.trim(request);
        return request;
      });
    default:
      return Err(`No control "${call}".`);
  }
}

function parseBody<T>(check: SchemaCheck<T>, body: string): Result<T, string> {
  return JsonDocument.parse('body', body)
    .andThen(document => check.check(document))
    .mapErr(findings => findings.map(finding => finding.message).join(' '));
}
