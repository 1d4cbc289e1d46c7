/** An order of workers as a duty writes it down: what it is about, and its exact content. */

/** How many workers a service is to have in a zone, those of both stages together. */
export interface ScaleOrder {
  readonly service: string;
  readonly zone: string;
  readonly workers: number;
}

/** A call that is owed. */
export interface PlannedOrder {
  readonly subject: string;
  /** JSON of a ScaleOrder; equal orders give equal texts. */
  readonly content: string;
}

/** What the orders for one service in one zone are about. */
export function scaleSubject(service: string, zone: string): string {
  return `${service} ${zone}`;
}

/** The order as it is written down. */
export function toPlannedOrder({ service, zone, workers }: ScaleOrder): PlannedOrder {
  return { subject: scaleSubject(service, zone), content: JSON.stringify({ service, zone, workers }) };
}

/** The order in a content; undefined where that is none. */
export function decodeScaleOrder(content: string): ScaleOrder | undefined {
  try {
    const { service, zone, workers } = JSON.parse(content) as Record<string, unknown>;
    if (typeof service !== 'string' || typeof zone !== 'string') return undefined;
    return Number.isSafeInteger(workers) ? { service, zone, workers: workers as number } : undefined;
  } catch {
    return undefined;
  }
}
