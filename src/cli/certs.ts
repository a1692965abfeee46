import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { type Command, InvalidArgumentError } from 'commander';
import { EXIT, fail, printLine } from './output.js';

function parseClusterName(text: string): string {
  if (!/^[A-Za-z0-9._-]{1,64}$/.test(text))
    throw new InvalidArgumentError('letters, digits, dots, dashes, up to 64');
  return text;
}

function parseDays(text: string): number {
  const dayCount = Number(text);
  if (!(dayCount > 0 && dayCount <= 3650)) throw new InvalidArgumentError('a number of days up to 3650');
  return dayCount;
}

/** Adds the `certs` command, which issues certificates for testing links between clusters. */
export function addCertsCommand(command: Command): void {
  command
    .command('certs <cluster...>')
    .description('create a certificate authority and cluster certificates for testing links between clusters')
    .option('--dir <dir>', 'output directory; an existing certificate authority in it is reused', 'certs')
    .option('--days <n>', 'validity of the certificates in days', parseDays, 90)
    .action(async (clusters: string[], options: { dir: string; days: number }) => {
      for (const cluster of clusters) {
        try {
          parseClusterName(cluster);
        } catch {
          fail(
            EXIT.usage,
            `"${cluster}": a cluster name consists of up to 64 letters, digits, dots, underscores and dashes`,
          );
        }
      }
      const { issueCertificate, makeIssuer, restoreIssuer } = await import('../tls/certs.js');
      mkdirSync(options.dir, { recursive: true });
      const path = (file: string) => join(options.dir, file);
      const validFrom = new Date(Date.now() - 60_000);
      const validUntil = new Date(Date.now() + options.days * 86_400_000);
      let ca: Awaited<ReturnType<typeof makeIssuer>>;
      if (existsSync(path('ca.key')))
        ca = await restoreIssuer(readFileSync(path('ca.key'), 'utf8'), readFileSync(path('ca.pem'), 'utf8'));
      else {
        ca = await makeIssuer('spartray trials', validFrom, validUntil);
        writeFileSync(path('ca.key'), ca.key, { mode: 0o600 });
        writeFileSync(path('ca.pem'), ca.cert);
      }
      for (const cluster of clusters) {
        const issued = await issueCertificate(ca, cluster, null, validFrom, validUntil);
        writeFileSync(path(`${cluster}.key`), issued.key, { mode: 0o600 });
        writeFileSync(path(`${cluster}.pem`), issued.cert);
        printLine(
          `${path(`${cluster}.pem`)}  serial ${issued.serial}, until ${validUntil.toISOString().slice(0, 10)}`,
        );
      }
    });
}
