/**
 * An incremental 64-bit fingerprint in two 32-bit lanes, cheap enough to be updated at every event.
 * It is not a cryptographic hash; two histories collide only by chance.
 */
const firstSeed = 0x811c9dc5;
const secondSeed = 0x9747b28c;
const firstPrime = 0x01000193;
const secondPrime = 0x5bd1e995;

/** An incremental fingerprint of the values added so far. */
export class Fingerprint {
  private first = firstSeed;
  private second = secondSeed;

  addText(text: string): void {
    for (let i = 0; i < text.length; i += 1) this.addWord(text.charCodeAt(i));
    this.addWord(text.length);
  }

  addNumber(value: number): void {
    this.addWord(value >>> 0);
    this.addWord(Math.floor(value / 2 ** 32) >>> 0);
  }

  addBytes(bytes: Uint8Array): void {
    for (const byte of bytes) this.addWord(byte);
    this.addWord(bytes.length);
  }

  value(): string {
    return `${this.first.toString(36)}.${this.second.toString(36)}`;
  }

  private addWord(word: number): void {
    this.first = Math.imul(this.first ^ word, firstPrime) >>> 0;
    this.second = Math.imul((this.second ^ word ^ (this.second >>> 15)) >>> 0, secondPrime) >>> 0;
  }
}

/** The fingerprint of several texts, regardless of their order. */
export function fingerprintOfSet(texts: Iterable<string>): string {
  const fingerprint = new Fingerprint();
  for (const text of [...texts].sort()) fingerprint.addText(text);
  return fingerprint.value();
}
