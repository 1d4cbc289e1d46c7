/**
 * Creates the code cache of a role. The build runs this with the role's own flags: it starts the role from the bundle on
 * loopback, calls it, and stores the compiled code of everything that ran.
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

function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  return Promise.all(
    servers.map((server) => new Promise((resolve) => server.once('listening', () => resolve(server.address().port)))),
  ).then(async (ports) => {
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    return ports;
  });
}

function settings(ports) {
  return `node_name = "warm"
role = "${role}"
serves = [${role === 'keeper' ? '"control"' : '"edge", "control"'}]
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [${ports[0]},${ports[0]}]
seed_nodes = ["127.0.0.1:${ports[1]}"]
bootstrap = true
counts_as_loss = ${role === 'keeper'}
${role === 'keeper' ? `data_dir = "${folder}"` : ''}
[zones]
a = "r"
[bind_addrs]
front_http = "127.0.0.1:${ports[2]}"
readiness = "127.0.0.1:${ports[3]}"
control_plane = "127.0.0.1:${ports[1]}"
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
address = "127.0.0.1:${ports[4]}"
rate_per_s = 50.0
max_lag_ms = 800
`;
}

function call(port, method, path, headers, body) {
  return new Promise((resolve) => {
    const request = http.request({ host: '127.0.0.1', port, method, path, headers, timeout: 500 }, (response) => {
      response.resume();
      response.on('close', resolve);
    });
    request.on('error', resolve);
    request.on('timeout', () => request.destroy());
    request.end(body);
  });
}

function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function exit(code) {
  rmSync(folder, { recursive: true, force: true });
  process.exit(code);
}

async function run() {
  const ports = await freePorts(5);
  writeFileSync(`${folder}/boot.toml`, settings(ports));
  process.env.TANSYPOST_NODE_FILE = `${folder}/boot.toml`;
  process.argv = [process.argv[0], filename, role];
  script.runInThisContext()(exports, require, module, filename, target);
  await wait(700);
  if (role === 'keeper') {
    await call(ports[1], 'PUT', '/config', { 'If-Match': '0' }, '{}');
    await call(ports[1], 'GET', '/config', {});
  } else {
    await call(ports[3], 'GET', '/ready', {});
    await call(ports[2], 'POST', '/', { Host: 'warm.example', 'X-Attempt-Id': 'w' }, 'x');
  }
  await wait(300);
  writeFileSync(`${target}/${role}.cache`, script.createCachedData());
  exit(0);
}

process.on('uncaughtException', (error) => {
  process.stderr.write(`code cache of ${role}: ${error.stack}\n`);
  exit(1);
});
run();
