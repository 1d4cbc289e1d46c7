/** Graceful stop on SIGTERM, which may arrive again while the process is stopping. */

/** Calls `stop` on the first SIGTERM. Later ones are ignored, and none terminates the process by itself. */
export function onStopSignal(stop: () => void): void {
  let stopping = false;
  process.on('SIGTERM', () => {
    if (stopping) return;
    stopping = true;
    stop();
  });
}
