import {Observable} from '@apricotlock/flow';
import {KeyRing} from '@apricotlock/peer';
import {Address} from '@apricotlock/topology';
import {
  Datagram,
  DatagramBody,
  MAXIMUM_DATAGRAM_BYTES,
  decodeDatagram,
  getPackedByteLength,
  encodeDatagram,
} from './datagram_codec.js';
import {DatagramTransport} from './datagram_transport.js';
import {MemberRecord, packRecord, unpackRecord} from './member_record.js';
import {ReplayWindow} from './replay_window.js';

/** Bytes reserved for the tag, the sender, the body and all length fields. */
const ENVELOPE_BYTES = 320;
const DATAGRAM_RECORD_BUDGET_BYTES = MAXIMUM_DATAGRAM_BYTES - ENVELOPE_BYTES;
/** Limits the size of a probe while many records change at the same time. */
const PIGGYBACK_BUDGET_BYTES = 400;
const MAXIMUM_TRACKED_SENDERS = 16_384;

/** A datagram that is authentic, well-formed and not a replay. */
export interface ReceivedDatagram {
  readonly from: Address;
  readonly sender: string;
  readonly body: DatagramBody;
  readonly records: readonly MemberRecord[];
}

/** Options of {@link DatagramEndpoint}. */
export interface DatagramEndpointOptions {
  readonly name: string;
  readonly incarnation: number;
  readonly address: Address;
  readonly transport: DatagramTransport;
  readonly keys: Observable<KeyRing>;
}

/**
 * Sends and receives authenticated datagrams. Replayed datagrams are dropped,
 * so each one is delivered at most once.
 */
export class DatagramEndpoint {
  private sequence = 0;
  private incarnation: number;
  private readonly replayWindows = new Map<string, ReplayWindow>();

  private constructor(private readonly options: DatagramEndpointOptions) {
    this.incarnation = options.incarnation;
  }

  /** Starts an endpoint that passes each received datagram to `handler`. */
  static start(
    options: DatagramEndpointOptions,
    handler: (datagram: ReceivedDatagram) => void,
  ): DatagramEndpoint {
    const endpoint = new DatagramEndpoint(options);
    options.transport.receive((from, bytes) => {
      const received = endpoint.decode(from, bytes);
      if (received !== undefined) handler(received);
    });
    return endpoint;
  }

  /**
   * Sends one datagram with `body` and all of `records`, which must fit into it
   * (see {@link RecordBudget}).
   */
  send(
    to: Address,
    body: DatagramBody,
    records: readonly MemberRecord[] = [],
  ): void {
    const {name, transport, keys} = this.options;
    const {incarnation} = this;
    this.sequence += 1;
    const datagram: Datagram = {
      sender: name,
      incarnation,
      sequence: this.sequence,
      body,
      records: records.map(packRecord),
    };
    transport.send(to, encodeDatagram(datagram, to, keys.current));
  }

  /**
   * Sends all later datagrams under another incarnation of this process, with
   * sequence numbers that start from 1 again.
   */
  setIncarnation(incarnation: number): void {
    this.incarnation = incarnation;
    this.sequence = 0;
  }

  /** Removes the replay windows of processes that are no longer members. */
  forgetSenders(names: readonly string[]): void {
    for (const name of names) this.replayWindows.delete(name);
  }

  private decode(from: Address, bytes: Buffer): ReceivedDatagram | undefined {
    const {address, keys} = this.options;
    const datagram = decodeDatagram(bytes, address, keys.current);
    if (datagram === undefined || !this.admit(datagram)) return undefined;
    const {sender, body, records} = datagram;
    return {from, sender, body, records: records.map(unpackRecord)};
  }

  private admit({sender, incarnation, sequence}: Datagram): boolean {
    const knownWindow = this.replayWindows.get(sender);
    if (knownWindow !== undefined && knownWindow.incarnation >= incarnation) {
      return (
        knownWindow.incarnation === incarnation && knownWindow.admit(sequence)
      );
    }
    if (
      knownWindow === undefined &&
      this.replayWindows.size >= MAXIMUM_TRACKED_SENDERS
    ) {
      return false;
    }
    const window = ReplayWindow.create(incarnation);
    this.replayWindows.set(sender, window);
    return window.admit(sequence);
  }
}

/** Tracks how many more bytes of records fit into one datagram. */
export class RecordBudget {
  private constructor(private remainingBytes: number) {}

  /** Creates the budget of a datagram that carries mainly records. */
  static forDatagram(): RecordBudget {
    return new RecordBudget(DATAGRAM_RECORD_BUDGET_BYTES);
  }

  /** Creates the budget for records piggybacked on another message. */
  static forPiggyback(): RecordBudget {
    return new RecordBudget(PIGGYBACK_BUDGET_BYTES);
  }

  /** Adds a record if it still fits. Returns whether it did. */
  tryAdd(record: MemberRecord): boolean {
    const bytes = getPackedByteLength(packRecord(record));
    if (bytes > this.remainingBytes) return false;
    this.remainingBytes -= bytes;
    return true;
  }
}

/** Splits records into batches that fit into one datagram each. */
export function splitIntoDatagrams(
  records: readonly MemberRecord[],
): ReadonlyArray<readonly MemberRecord[]> {
  const batches: MemberRecord[][] = [];
  let budget: RecordBudget | undefined;
  for (const record of records) {
    if (budget === undefined || !budget.tryAdd(record)) {
      budget = RecordBudget.forDatagram();
      budget.tryAdd(record);
      batches.push([]);
    }
    batches[batches.length - 1]?.push(record);
  }
  return batches;
}
