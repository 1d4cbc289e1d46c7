/** How a process is told to stop: by a signal that may come again while it stops. */

/** Calls `stop` at the first SIGTERM; further ones change nothing, and none ends the process by itself. */
export function onStopSignal(stop: () => void): void {
  let stopping = false;
  process.on('SIGTERM', () => {
    if (stopping) return;
    stopping = true;
    stop();
  });
}
