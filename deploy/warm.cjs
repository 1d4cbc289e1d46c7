/**
 * Run by the build with a role's own flags: starts the role from the bundle on the loopback for a moment,
 * calls it, and keeps the compiled code of all that ran as the role's code cache.
 */

'use strict';
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require('node:fs');
const http = require('node:http');
const { createServer } = require('node:net');
const { tmpdir } = require('node:os');
const { Script } = require('node:vm');

const [, , role, target] = process.argv;
const filename = `${target}/bundle.cjs`;
const folder = mkdtempSync(`${tmpdir()}/warm-`);
const script = new Script(readFileSync(filename, 'latin1'), { filename });

function freePorts(n) {
  const servers = Array.from({ length: n }, () => createServer().listen(0, '127.0.0.1'));
  return Promise.all(servers.map((s) => new Promise((ok) => s.once('listening', () => ok(s.address().port))))).then(
    async (ports) => {
      await Promise.all(servers.map((s) => new Promise((ok) => s.close(ok))));
      return ports;
    },
  );
}

function settings(p) {
  return `node_name = "warm"
role = "${role}"
serves = [${role === 'keeper' ? '"control"' : '"edge", "control"'}]
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [${p[0]},${p[0]}]
seed_nodes = ["127.0.0.1:${p[1]}"]
bootstrap = true
counts_as_loss = ${role === 'keeper'}
${role === 'keeper' ? `data_dir = "${folder}"` : ''}
[zones]
a = "r"
[bind_addrs]
front_http = "127.0.0.1:${p[2]}"
readiness = "127.0.0.1:${p[3]}"
control_plane = "127.0.0.1:${p[1]}"
[limits]
cpu_fraction = 1.0
memory_mb = 350
max_fds = 1000
link_mbps = 1000.0
disk_mb = 100
[fault_budget]
machine_losses = 1
zones = 0
region_losses = 0
[bounds]
drain_ms = 3000
[platform_api]
address = "127.0.0.1:${p[4]}"
rate_per_s = 50.0
max_lag_ms = 800
`;
}

function call(port, method, path, headers, body) {
  return new Promise((ok) => {
    const r = http.request({ host: '127.0.0.1', port, method, path, headers, timeout: 500 }, (a) => {
      a.resume();
      a.on('close', ok);
    });
    r.on('error', ok);
    r.on('timeout', () => r.destroy());
    r.end(body);
  });
}

function wait(ms) {
  return new Promise((ok) => setTimeout(ok, ms));
}

function end(code) {
  rmSync(folder, { recursive: true, force: true });
  process.exit(code);
}

async function run() {
  const p = await freePorts(5);
  writeFileSync(`${folder}/boot.toml`, settings(p));
  process.env.TANSYPOST_NODE_FILE = `${folder}/boot.toml`;
  process.argv = [process.argv[0], filename, role];
  script.runInThisContext()(exports, require, module, filename, target);
  await wait(700);
  if (role === 'keeper') {
    await call(p[1], 'PUT', '/config', { 'If-Match': '0' }, '{}');
    await call(p[1], 'GET', '/config', {});
  } else {
    await call(p[3], 'GET', '/ready', {});
    await call(p[2], 'POST', '/', { Host: 'warm.example', 'X-Attempt-Id': 'w' }, 'x');
  }
  await wait(300);
  writeFileSync(`${target}/${role}.cache`, script.createCachedData());
  end(0);
}

process.on('uncaughtException', (e) => {
  process.stderr.write(`warm ${role}: ${e.stack}\n`);
  end(1);
});
run();
