import {Address} from '@apricotlock/topology';

/** Takes a datagram and the address from which it came. */
export type DatagramHandler = (from: Address, bytes: Buffer) => void;

/** Sends and receives datagrams, which may be lost, doubled and reordered. */
export abstract class DatagramTransport {
  /** Sends without waiting; a datagram that cannot be sent is lost. */
  abstract send(to: Address, bytes: Buffer): void;

  /** Hands every datagram that comes from now on to `handler`. */
  abstract receive(handler: DatagramHandler): void;

  /** Receives and sends no more. */
  abstract close(): Promise<void>;
}
