import {expect} from 'chai';
import fc from 'fast-check';
import {Socket} from 'node:net';
import {duplexPair} from 'node:stream';
import {serialize} from 'pg-protocol';
import {LeaseOwnerMessage} from '@apricotlock/backend';
import {Observable} from '@apricotlock/flow';
import {StatementClassifier} from '@apricotlock/sql';
import {SystemTimerService} from '@apricotlock/timer';
import {
  BackendType,
  emptyMessage,
  ByteStream,
  commandComplete,
  dataRow,
  Frame,
  FrameSplitter,
  FrontendType,
  readFirstValue,
  readParse,
  readQuery,
  readyForQuery,
  TransactionStatus,
} from '@apricotlock/wire';
import {IdempotencyCleaner} from '../src/idempotency_cleaner.js';
import {CallerSession} from '../src/caller_session.js';
import {Router} from '../src/router.js';
import {DEFAULT_SETTINGS} from '../src/session_settings.js';
import {
  ENTRY,
  FakeLeaseClient,
  FakeOwner,
  finished,
  VIEW,
} from './fake_lease_client.js';

const SEED = 20_261_203;
const MAXIMUM_BYTES = 1 << 20;

/** Splits bytes into messages. */
function framesOf(bytes: Buffer): readonly Frame[] {
  const splitter = FrameSplitter.create(MAXIMUM_BYTES, 'regular');
  splitter.push(bytes);
  return splitter.drain().unsafeCoerce();
}

/**
 * Returns an owner whose member keeps no state between runs. It answers each
 * Execute with the statement text of the same run, and knows BEGIN and COMMIT.
 */
function echoingOwner(): FakeOwner {
  return (_request, run) => {
    let text = '';
    let status: TransactionStatus = 'idle';
    const out: Buffer[] = [];
    const execute = () => {
      if (text.startsWith('BEGIN')) status = 'transaction';
      if (text.startsWith('COMMIT')) status = 'idle';
      out.push(dataRow([text]), commandComplete('SELECT 1'));
    };
    for (const frame of framesOf(run.bytes)) {
      switch (frame.type) {
        case FrontendType.QUERY:
          text = readQuery(frame).unsafeCoerce();
          execute();
          out.push(readyForQuery(status));
          break;
        case FrontendType.PARSE:
          text = readParse(frame).unsafeCoerce().query;
          out.push(emptyMessage(BackendType.PARSE_COMPLETE));
          break;
        case FrontendType.BIND:
          out.push(emptyMessage(BackendType.BIND_COMPLETE));
          break;
        case FrontendType.EXECUTE:
          execute();
          break;
        case FrontendType.SYNC:
          out.push(readyForQuery(status));
          break;
        default:
          break;
      }
    }
    return [finished(Buffer.concat(out), {status})];
  };
}

describe('CallerSession', () => {
  const timer = SystemTimerService.create();
  let classifier: StatementClassifier;

  before(async () => {
    classifier = await StatementClassifier.create();
  });

  function serve(owner: FakeOwner) {
    const [caller, proxy] = duplexPair();
    const leaseClient = new FakeLeaseClient(owner);
    const view = Observable.of(VIEW);
    const router = Router.create('palermo', view, leaseClient, timer);
    const session = CallerSession.create({
      id: 's',
      caller: {
        stream: ByteStream.of(proxy as unknown as Socket, MAXIMUM_BYTES),
        splitter: FrameSplitter.create(MAXIMUM_BYTES, 'regular'),
        parameters: {user: ENTRY.name},
      },
      settings: DEFAULT_SETTINGS,
      entry: () => ENTRY,
      router,
      timer,
      cleaner: IdempotencyCleaner.create(router, timer),
      classifier,
      observer: {
        now: () => timer.now(),
        onServed: () => undefined,
        onFailure: () => undefined,
      },
    });
    const running = session.run().finally(() => proxy.end());
    const received: Buffer[] = [];
    caller.on('data', (chunk: Buffer) => received.push(chunk));
    const done = async () => {
      await running;
      await new Promise(resolve => setImmediate(resolve));
      const frames = framesOf(Buffer.concat(received));
      return frames.filter(({type}) => type !== BackendType.PARAMETER_STATUS);
    };
    return {caller, proxy, leaseClient, done};
  }

  const terminate = serialize.end() as Buffer;
  const sync = serialize.sync() as Buffer;

  function extended(
    name: string,
    text: string,
    separateParse: boolean,
  ): Buffer {
    const parse = serialize.parse({name, text}) as Buffer;
    const run = Buffer.concat([
      serialize.bind({statement: name, values: []}) as Buffer,
      serialize.execute() as Buffer,
      sync,
    ]);
    return Buffer.concat(separateParse ? [parse, sync, run] : [parse, run]);
  }

  it('answers batches in order however the stream is split', async () => {
    const batch = fc.record({
      kind: fc.constantFrom('simple', 'unnamed', 'named'),
      separateParse: fc.boolean(),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(batch, {minLength: 1, maxLength: 8}),
        fc.array(fc.nat(400), {maxLength: 12}),
        async (batches, cuts) => {
          const texts = batches.map((_, index) => `SELECT ${index}`);
          const bytes = batches.map(({kind, separateParse}, index) => {
            const text = texts[index] as string;
            if (kind === 'simple') return serialize.query(text) as Buffer;
            return extended(
              kind === 'named' ? `s${index}` : '',
              text,
              separateParse,
            );
          });
          const whole = Buffer.concat([...bytes, terminate]);
          const {caller, done} = serve(echoingOwner());
          const offsets = [...new Set(cuts)].sort((a, b) => a - b);
          let from = 0;
          for (const offset of [...offsets, whole.length]) {
            caller.write(whole.subarray(from, offset));
            from = Math.min(offset, whole.length);
            await new Promise(resolve => setImmediate(resolve));
          }
          const frames = await done();
          const rows = frames.filter(({type}) => type === BackendType.DATA_ROW);
          expect(rows.map(readFirstValue)).to.deep.equal(texts);
          const expectedReady = batches.reduce(
            (sum, {kind, separateParse}) =>
              sum + (kind !== 'simple' && separateParse ? 2 : 1),
            0,
          );
          const ready = frames.filter(
            ({type}) => type === BackendType.READY_FOR_QUERY,
          );
          expect(ready.length).to.equal(expectedReady);
        },
      ),
      {seed: SEED, numRuns: 60},
    );
  });

  it('sends only well-formed answers after arbitrary bytes', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 6}),
        async chunks => {
          const {caller, done} = serve(echoingOwner());
          for (const chunk of chunks) caller.write(Buffer.from(chunk));
          caller.end();
          const frames = await done();
          for (const {type} of frames) {
            expect([
              BackendType.ERROR_RESPONSE,
              BackendType.READY_FOR_QUERY,
              BackendType.DATA_ROW,
              BackendType.COMMAND_COMPLETE,
            ] as number[]).to.include(type);
          }
        },
      ),
      {seed: SEED, numRuns: 100},
    );
  });

  it('does not report idle while a transaction holds a lease', async () => {
    const {caller, leaseClient, done} = serve(echoingOwner());
    for (const text of ['BEGIN', 'SELECT 1', 'COMMIT', 'SELECT 2']) {
      caller.write(serialize.query(text) as Buffer);
    }
    caller.write(terminate);
    const frames = await done();
    const states = frames
      .filter(({type}) => type === BackendType.READY_FOR_QUERY)
      .map(({bytes}) => String.fromCharCode(bytes[5] as number));
    // The member loses the transaction with each run, as it keeps no state.
    expect(states[0]).to.equal('T');
    expect(leaseClient.requests.length).to.be.lessThan(4);
  });

  it('sets tracked settings on a connection before statements', async () => {
    const {caller, leaseClient, done} = serve(echoingOwner());
    caller.write(
      serialize.query("SET TimeZone TO 'Pacific/Auckland'") as Buffer,
    );
    caller.write(serialize.query('SELECT 1') as Buffer);
    caller.write(terminate);
    const frames = await done();
    const last = leaseClient.requests[leaseClient.requests.length - 1]?.first;
    const sent = framesOf(last?.bytes ?? Buffer.alloc(0));
    expect(sent.map(frame => readQuery(frame).unsafeCoerce())).to.deep.equal([
      "SET timezone TO 'Pacific/Auckland'",
      'SELECT 1',
    ]);
    expect(last).to.include({answers: 2, reset: true});
    const rows = frames.filter(({type}) => type === BackendType.DATA_ROW);
    expect(rows.map(readFirstValue)[1]).to.equal('SELECT 1');
    expect(rows.length).to.equal(2);
  });

  it('answers COMMIT with ROLLBACK after a keyed transaction lost a statement', async () => {
    const echo = echoingOwner();
    const {caller, leaseClient, done} = serve(async (request, run) => {
      const texts = framesOf(run.bytes).map(frame =>
        readQuery(frame).orDefault(''),
      );
      if (texts.includes('UPDATE holds SET free = 0')) {
        return [{kind: 'lost', sent: true}];
      }
      const [answer] = await echo(request, run);
      return [{...answer, status: 'transaction'} as LeaseOwnerMessage];
    });
    for (const text of [
      "SET apricotlock.idempotency_key = 'k'",
      'BEGIN',
      'UPDATE holds SET free = 0',
      'COMMIT',
    ]) {
      caller.write(serialize.query(text) as Buffer);
    }
    caller.write(terminate);
    const frames = await done();
    const tags = frames
      .filter(({type}) => type === BackendType.COMMAND_COMPLETE)
      .map(({bytes}) => bytes.toString('utf8', 5, bytes.length - 1));
    expect(tags.at(-1)).to.equal('ROLLBACK');
    const errors = frames.filter(
      ({type}) => type === BackendType.ERROR_RESPONSE,
    );
    expect(errors).to.have.length(1);
    const sent = leaseClient.sentMessages.flatMap(message =>
      message.kind === 'run' ? framesOf(message.bytes) : [],
    );
    const sentTexts = sent.map(frame => readQuery(frame).orDefault(''));
    expect(sentTexts).to.include('UPDATE holds SET free = 0');
    expect(sentTexts).not.to.include('COMMIT');
  });

  it('ends when the caller disconnects during a statement', async () => {
    const {caller, proxy, leaseClient, done} = serve(
      () => new Promise(() => undefined),
    );
    caller.write(serialize.query('SELECT 1') as Buffer);
    await new Promise(resolve => setTimeout(resolve, 20));
    proxy.destroy();
    await done();
    expect(leaseClient.requests.length).to.equal(1);
  });
});
