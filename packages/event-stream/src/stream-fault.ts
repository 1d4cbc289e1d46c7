/** Why a stream of events cannot be the work of one run of its request. */

/** The first fault of a stream; nothing after it is trusted. */
export type StreamFault =
  /** A line that is no field of an event. */
  | 'unknown line'
  /** A field whose value is no UTF-8 or contains control characters. */
  | 'invalid text'
  /** A field whose value, place or repetition is not allowed. */
  | 'invalid field'
  | 'event too long'
  | 'empty event'
  | 'event without id'
  | 'event without data'
  /** An event that does not follow the one before it. */
  | 'id out of order'
  | 'end inside an event'
  | 'end before an event'
  /** A status whose response has no body. */
  | 'response without a body'
  /** A status whose response is a part of a body. */
  | 'partial response'
  /** The process holds too much for all streams, and this one holds the most. */
  | 'out of memory for streams';
