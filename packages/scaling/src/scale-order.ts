/** A scale order, which sets the number of workers of a service in a zone, as the subject and content of a duty's call. */

/** The number of workers that a service is to have in a zone, prefill and decode workers together. */
export interface ScaleOrder {
  readonly service: string;
  readonly zone: string;
  readonly workers: number;
}

/** An order as a planned call of the duty. */
export interface PlannedOrder {
  readonly subject: string;
  /** JSON of a ScaleOrder; equal orders give equal strings. */
  readonly content: string;
}

/** The subject of all orders for one service in one zone. */
export function scaleSubject(service: string, zone: string): string {
  return `${service} ${zone}`;
}

/** Encodes an order as a planned call. */
export function toPlannedOrder({ service, zone, workers }: ScaleOrder): PlannedOrder {
  return { subject: scaleSubject(service, zone), content: JSON.stringify({ service, zone, workers }) };
}

/** Decodes the content of a call; undefined if it is not a scale order. */
export function decodeScaleOrder(content: string): ScaleOrder | undefined {
  try {
    const { service, zone, workers } = JSON.parse(content) as Record<string, unknown>;
    if (typeof service !== 'string' || typeof zone !== 'string') return undefined;
    return Number.isSafeInteger(workers) ? { service, zone, workers: workers as number } : undefined;
  } catch {
    return undefined;
  }
}
