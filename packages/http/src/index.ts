/** Reads HTTP answers, and decides how the body of an answer ends. */
export {
  decideFraming,
  type AnswerFraming,
  type AnswerHead,
} from './answer-framing.js';
export {AnswerReader, type AnswerEvents} from './answer-reader.js';
