import {Address} from '@apricotlock/topology';

/** Handles a received datagram; `from` is the sender's address. */
export type DatagramHandler = (from: Address, bytes: Buffer) => void;

/** Sends and receives datagrams, which may be lost, duplicated or reordered. */
export abstract class DatagramTransport {
  /** Sends a datagram without waiting. One that cannot be sent is dropped. */
  abstract send(to: Address, bytes: Buffer): void;

  /** Passes every datagram that arrives from now on to `handler`. */
  abstract receive(handler: DatagramHandler): void;

  /** Stops sending and receiving. */
  abstract close(): Promise<void>;
}
