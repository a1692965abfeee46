/** Makes certificates for links to partner clusters (`spartray certs`). */

// The certificate library needs it to be loaded first.
import 'reflect-metadata';
import { randomBytes, webcrypto } from 'node:crypto';
import * as x509 from '@peculiar/x509';

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' } as const;

/** A key and its certificate, in PEM. */
export interface Issued {
  key: string;
  cert: string;
  /** Serial number of the certificate. */
  serial: string;
}

/** One that signs other certificates. */
export interface Issuer extends Issued {
  keys: CryptoKeyPair;
  certificate: x509.X509Certificate;
}

interface CryptoKeyPair {
  publicKey: webcrypto.CryptoKey;
  privateKey: webcrypto.CryptoKey;
}

async function keyPem(key: webcrypto.CryptoKey): Promise<string> {
  const bytes = await webcrypto.subtle.exportKey('pkcs8', key);
  return x509.PemConverter.encode(bytes, 'PRIVATE KEY');
}

/** An issuer for trials. */
export async function makeIssuer(name: string, from: Date, until: Date): Promise<Issuer> {
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify'])) as CryptoKeyPair;
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    serialNumber: '01',
    name: `CN=${name}`,
    notBefore: from,
    notAfter: until,
    keys,
    signingAlgorithm: ALGORITHM,
    extensions: [
      new x509.BasicConstraintsExtension(true, 0, true),
      new x509.KeyUsagesExtension(x509.KeyUsageFlags.keyCertSign | x509.KeyUsageFlags.cRLSign, true),
    ],
  });
  return {
    keys,
    certificate,
    key: await keyPem(keys.privateKey),
    cert: certificate.toString('pem'),
    serial: '01',
  };
}

/** An issuer made before, from its key and certificate in PEM. */
export async function restoreIssuer(key: string, cert: string): Promise<Issuer> {
  const certificate = new x509.X509Certificate(cert);
  const bytes = x509.PemConverter.decodeFirst(key);
  const privateKey = await webcrypto.subtle.importKey('pkcs8', bytes, ALGORITHM, true, ['sign']);
  const publicKey = await certificate.publicKey.export(ALGORITHM, ['verify']);
  const keys = { privateKey, publicKey: publicKey as webcrypto.CryptoKey };
  return { keys, certificate, key, cert, serial: certificate.serialNumber };
}

/** The certificate of a cluster, for both ends of a link. `serial` is hexadecimal; drawn when null. */
export async function issue(
  issuer: Issuer,
  cluster: string,
  serialNumber: string | null,
  from: Date,
  until: Date,
): Promise<Issued> {
  // The first digit keeps it positive.
  const serial = serialNumber ?? `4${randomBytes(15).toString('hex')}`;
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify'])) as CryptoKeyPair;
  const certificate = await x509.X509CertificateGenerator.create({
    serialNumber: serial,
    subject: `CN=${cluster}`,
    issuer: issuer.certificate.subject,
    notBefore: from,
    notAfter: until,
    publicKey: keys.publicKey,
    signingKey: issuer.keys.privateKey,
    signingAlgorithm: ALGORITHM,
    extensions: [
      new x509.KeyUsagesExtension(x509.KeyUsageFlags.digitalSignature, true),
      new x509.ExtendedKeyUsageExtension([
        x509.ExtendedKeyUsage.serverAuth,
        x509.ExtendedKeyUsage.clientAuth,
      ]),
      new x509.SubjectAlternativeNameExtension([{ type: 'url', value: `spartray://${cluster}` }]),
    ],
  });
  return { key: await keyPem(keys.privateKey), cert: certificate.toString('pem'), serial };
}
