/** State chart of a claim writer. */

import {readChart, StateChart, type ChartEvent} from '@turmericmill/utils';

import type {ClaimWriterState} from './claim-writer-types.js';

export interface WriterEvent extends ChartEvent {
  type:
    | 'gain'
    | 'lose'
    | 'caughtUp'
    | 'append'
    | 'inOrder'
    | 'unsure'
    | 'failed'
    | 'retry';
}

export const WRITER_CHART = new StateChart<ClaimWriterState, WriterEvent>(
  readChart(import.meta.url, './claim-writer.chart.json'),
);
