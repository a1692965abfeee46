import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { type Command, InvalidArgumentError } from 'commander';
import { EXIT, fail, say } from './output.js';

function name(text: string): string {
  if (!/^[A-Za-z0-9._-]{1,64}$/.test(text))
    throw new InvalidArgumentError('letters, digits, dots, dashes, up to 64');
  return text;
}

function days(text: string): number {
  const n = Number(text);
  if (!(n > 0 && n <= 3650)) throw new InvalidArgumentError('a number of days up to 3650');
  return n;
}

/** The command that makes certificates for trials of links between clusters: certs. */
export function addCertsCommand(command: Command): void {
  command
    .command('certs <cluster...>')
    .description('make an issuer and a certificate for each cluster, for trials of links between clusters')
    .option('--dir <dir>', 'where they go; an issuer that is there is used again', 'certs')
    .option('--days <n>', 'how long they are good for', days, 90)
    .action(async (clusters: string[], options: { dir: string; days: number }) => {
      for (const c of clusters) {
        try {
          name(c);
        } catch {
          fail(EXIT.usage, `"${c}": a cluster's name has letters, digits, dots and dashes, up to 64`);
        }
      }
      const { issue, makeIssuer, restoreIssuer } = await import('../tls/certs.js');
      mkdirSync(options.dir, { recursive: true });
      const at = (file: string) => join(options.dir, file);
      const from = new Date(Date.now() - 60_000);
      const until = new Date(Date.now() + options.days * 86_400_000);
      let issuer: Awaited<ReturnType<typeof makeIssuer>>;
      if (existsSync(at('ca.key')))
        issuer = await restoreIssuer(readFileSync(at('ca.key'), 'utf8'), readFileSync(at('ca.pem'), 'utf8'));
      else {
        issuer = await makeIssuer('spartray trials', from, until);
        writeFileSync(at('ca.key'), issuer.key, { mode: 0o600 });
        writeFileSync(at('ca.pem'), issuer.cert);
      }
      for (const c of clusters) {
        const made = await issue(issuer, c, null, from, until);
        writeFileSync(at(`${c}.key`), made.key, { mode: 0o600 });
        writeFileSync(at(`${c}.pem`), made.cert);
        say(`${at(`${c}.pem`)}  serial ${made.serial}, until ${until.toISOString().slice(0, 10)}`);
      }
    });
}
