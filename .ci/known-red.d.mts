/** One entry of KNOWN-RED.txt. */
export interface KnownRedEntry {
  readonly name: string;
  readonly command: string;
  readonly seen: string;
  readonly issue: string;
  readonly isVitest: boolean;
}

/** Parses the text of the file. */
export function parseKnownRed(text: string): KnownRedEntry[];
