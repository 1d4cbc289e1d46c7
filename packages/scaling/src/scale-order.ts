/** Scale orders, each of which sets the number of workers of a service in a zone, and their encoding as calls of the scale duty. */

/** The number of workers that a service is to have in a zone, prefill and decode workers together. */
export interface ScaleOrder {
  readonly service: string;
  readonly zone: string;
  readonly workers: number;
}

/** An order in the form of a planned call of the scale duty (PlannedCall in duty-log). */
export interface PlannedOrder {
  readonly subject: string;
  /** JSON of a ScaleOrder. Equal orders give equal strings, as calls are compared by content. */
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
