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
    .description(
      'create a certificate authority and a certificate for each cluster, for testing links between clusters',
    )
    .option(
      '--dir <dir>',
      'output directory; a certificate authority that it already contains is reused',
      'certs',
    )
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
      const pathIn = (file: string) => join(options.dir, file);
      const validFrom = new Date(Date.now() - 60_000);
      const validUntil = new Date(Date.now() + options.days * 86_400_000);
      let issuer: Awaited<ReturnType<typeof makeIssuer>>;
      if (existsSync(pathIn('ca.key')))
        issuer = await restoreIssuer(
          readFileSync(pathIn('ca.key'), 'utf8'),
          readFileSync(pathIn('ca.pem'), 'utf8'),
        );
      else {
        issuer = await makeIssuer('spartray trials', validFrom, validUntil);
        writeFileSync(pathIn('ca.key'), issuer.key, { mode: 0o600 });
        writeFileSync(pathIn('ca.pem'), issuer.cert);
      }
      for (const cluster of clusters) {
        const issued = await issueCertificate(issuer, cluster, null, validFrom, validUntil);
        writeFileSync(pathIn(`${cluster}.key`), issued.key, { mode: 0o600 });
        writeFileSync(pathIn(`${cluster}.pem`), issued.cert);
        printLine(
          `${pathIn(`${cluster}.pem`)}  serial ${issued.serial}, until ${validUntil.toISOString().slice(0, 10)}`,
        );
      }
    });
}
