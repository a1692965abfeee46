// This package: the base classes of all errors, one for each way in which a caller can react.

/** Base class of all errors that this program throws deliberately. `cause` holds the underlying error, if any. */
export abstract class SpartrayError extends Error {
  override get name(): string {
    return this.constructor.name;
  }
}

/** The request was understood but cannot be served now; the same request may be sent again later. */
export class UnavailableError extends SpartrayError {}

/**
 * No answer was received: the connection was refused or closed, or timed out. The request may be sent to another
 * node.
 */
export class UnreachableError extends SpartrayError {}

/** The input is invalid and a retry would fail too: a settings file, a job, or the arguments of a command. */
export class InvalidInputError extends SpartrayError {}

/** The peer violated the protocol; the connection or message cannot be used any further. */
export class ProtocolViolationError extends SpartrayError {}

/** This node is not, or is no longer, the owner or leader that the request is addressed to. */
export class NotOwnerError extends SpartrayError {}

/**
 * A request to another service failed. `mayHaveApplied` is false if it certainly had no effect, and true if it may
 * have had an effect or may still have one.
 */
export abstract class RemoteServiceError extends SpartrayError {
  constructor(
    message: string,
    readonly mayHaveApplied: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
