/** Responses of guarded servers: their bodies have exactly the length that their heads state. */
import http from 'node:http';

type WriteHeadHeaders = http.OutgoingHttpHeaders | http.OutgoingHttpHeader[];

const lengthField = 'content-length';

/** Node.js before 20.20 compares the length written with the stated value itself, which never equals a text. */
function withNumericLength<Value>(name: unknown, value: Value): Value | number {
  const isLength = typeof name === 'string' && name.toLowerCase() === lengthField;
  return isLength && typeof value === 'string' && /^\d+$/.test(value) ? Number(value) : value;
}

/** Of a flat list of names and values, as `writeHead` takes it. */
function listWithNumericLength(headers: http.OutgoingHttpHeader[]): http.OutgoingHttpHeader[] {
  return headers.map((entry, index) => (index % 2 === 0 ? entry : withNumericLength(headers[index - 1], entry)));
}

function headersWithNumericLength(headers: WriteHeadHeaders): WriteHeadHeaders {
  if (Array.isArray(headers)) return listWithNumericLength(headers);
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, withNumericLength(name, value)]));
}

/**
 * A response that throws `ERR_HTTP_CONTENT_LENGTH_MISMATCH` where more or fewer bytes are written than its head states, so
 * that no byte is taken for a part of the next response.
 */
export class StrictResponse extends http.ServerResponse {
  constructor(...parameters: ConstructorParameters<typeof http.ServerResponse>) {
    super(...parameters);
    this.strictContentLength = true;
  }

  override setHeader(name: string, value: number | string | readonly string[]): this {
    return super.setHeader(name, withNumericLength(name, value));
  }

  override writeHead(status: number, reason?: string | WriteHeadHeaders, headers?: WriteHeadHeaders): this {
    if (typeof reason === 'string')
      return super.writeHead(status, reason, headers && headersWithNumericLength(headers));
    const only = reason ?? headers;
    return super.writeHead(status, only && headersWithNumericLength(only));
  }
}
