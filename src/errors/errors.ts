// This package: the base classes of all errors, one for each thing that a caller can do about them.

/** Every error that this program throws on purpose. `cause` holds what it was made from, if anything. */
export abstract class SpartrayError extends Error {
  override get name(): string {
    return this.constructor.name;
  }
}

/** The request was understood and cannot be served now; the same request may be sent again later. */
export class UnavailableError extends SpartrayError {}

/** Nobody answered: a refused or closed connection, or a time-out. The request may be sent to somebody else. */
export class UnreachableError extends SpartrayError {}

/** The input is wrong and will be wrong the next time: a settings file, a job, the arguments of a command. */
export class InvalidInputError extends SpartrayError {}

/** The other side sent what the protocol does not allow; the connection or message is of no more use. */
export class ProtocolViolationError extends SpartrayError {}

/** This node is not, or is no longer, the owner or leader that the request is for. */
export class NotOwnerError extends SpartrayError {}

/**
 * A request to another service failed. `mayHaveApplied` is false when it surely had no effect, true when it may have
 * had one, or may have one yet.
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
