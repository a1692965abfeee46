/** Issues certificates for links to partner clusters (`spartray certs`). */

// @peculiar/x509 requires this polyfill to be loaded first.
import 'reflect-metadata';
import { randomBytes, webcrypto } from 'node:crypto';
import * as x509 from '@peculiar/x509';

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' } as const;

/** Private key and its certificate, in PEM. */
export interface KeyAndCertificate {
  key: string;
  cert: string;
  /** Serial number of the certificate. */
  serial: string;
}

/** Certificate authority: a key and a certificate that sign other certificates. */
export interface Issuer extends KeyAndCertificate {
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

/** Creates a self-signed certificate authority for tests. */
export async function makeIssuer(name: string, validFrom: Date, validUntil: Date): Promise<Issuer> {
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify'])) as CryptoKeyPair;
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    serialNumber: '01',
    name: `CN=${name}`,
    notBefore: validFrom,
    notAfter: validUntil,
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

/** Restores a certificate authority from its key and certificate in PEM. */
export async function restoreIssuer(key: string, cert: string): Promise<Issuer> {
  const certificate = new x509.X509Certificate(cert);
  const bytes = x509.PemConverter.decodeFirst(key);
  const privateKey = await webcrypto.subtle.importKey('pkcs8', bytes, ALGORITHM, true, ['sign']);
  const publicKey = await certificate.publicKey.export(ALGORITHM, ['verify']);
  const keys = { privateKey, publicKey: publicKey as webcrypto.CryptoKey };
  return { keys, certificate, key, cert, serial: certificate.serialNumber };
}

/**
 * Issues a certificate for a cluster, valid as server and as client certificate of a link. `serialNumber` is
 * hexadecimal; null draws a random one.
 */
export async function issueCertificate(
  issuer: Issuer,
  cluster: string,
  serialNumber: string | null,
  validFrom: Date,
  validUntil: Date,
): Promise<KeyAndCertificate> {
  // A first digit below 8 keeps the serial number positive.
  const serial = serialNumber ?? `4${randomBytes(15).toString('hex')}`;
  const keys = (await webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify'])) as CryptoKeyPair;
  const certificate = await x509.X509CertificateGenerator.create({
    serialNumber: serial,
    subject: `CN=${cluster}`,
    issuer: issuer.certificate.subject,
    notBefore: validFrom,
    notAfter: validUntil,
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
