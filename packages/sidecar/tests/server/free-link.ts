import {AnswerLink} from '@turmericmill/routing';

/** A link at which nothing waits. */
export class FreeLink extends AnswerLink {
  override readonly bytesPerMs = Infinity;
  override readonly shortBytes = 0;

  override waitingBytes(): number {
    return 0;
  }
}
