/** The platform's list of workers: `GET /instances`, one page. */
import http from 'node:http';

/** Starts the list; `instances` gives the entries at the moment of each call. */
export async function startPlatform({ host, port, instances }) {
  const server = http.createServer((request, response) => {
    request.resume();
    const found = request.url.split('?')[0] === '/instances';
    const body = JSON.stringify(found ? { instances: instances(), next_token: null } : { error: 'unknown path' });
    response.writeHead(found ? 200 : 404, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port }, resolve);
  });
  return {
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
