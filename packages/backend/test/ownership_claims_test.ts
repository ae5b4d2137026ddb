import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {OwnershipClaims} from '../src/ownership_claims.js';
import {ClaimAnswer} from '../src/ownership_messages.js';
import {settle} from './fake_backend.js';

/** Answers each claim as the test says. */
class FakeNetwork extends PeerNetwork {
  answer: Either<PeerError, ClaimAnswer> = Right({kind: 'free'});
  asked = 0;

  override async call<Request, Answer>(
    _to: unknown,
    _call: PeerCall<Request, Answer>,
  ): Promise<Either<PeerError, Answer>> {
    this.asked += 1;
    return this.answer as unknown as Either<PeerError, Answer>;
  }

  override converse(): never {
    throw new Error('not used');
  }

  override handle(): never {
    throw new Error('not used');
  }

  override handleConversation(): never {
    throw new Error('not used');
  }

  override async close(): Promise<void> {
    this.asked = 0;
  }
}

describe('OwnershipClaims', () => {
  let timer: ManualTimerService;
  let network: FakeNetwork;
  let claims: OwnershipClaims;

  beforeEach(() => {
    timer = ManualTimerService.create();
    network = new FakeNetwork();
    claims = OwnershipClaims.create({
      claim: {member: 'holds-a', claimant: 'vm-1', dataCentre: 'catania'},
      network,
      timer,
      changed: () => undefined,
    });
  });

  async function pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 25) {
      await settle();
      timer.advance(25);
    }
    await settle();
  }

  it('waits until the other has answered', async () => {
    claims.update([machine('vm-2')]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('leaves to the other what it holds, until it holds nothing', async () => {
    const holding = {connections: 2, leases: {holds: 1}};
    network.answer = Right({kind: 'holding', holding});
    claims.update([machine('vm-2')]);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([holding]);
    network.answer = Right({kind: 'free'});
    await pass(25);
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('begins nothing while the other keeps the member', async () => {
    network.answer = Right({kind: 'kept'});
    claims.update([machine('vm-2')]);
    await pass(10_000);
    expect(claims.heldByOthers).to.equal(undefined);
  });

  it('takes a process that is gone for free at once', async () => {
    network.answer = Left({
      kind: 'notSent',
      reason: 'connect ECONNREFUSED 127.0.0.1:1',
    });
    claims.update([machine('vm-2')]);
    await settle();
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('waits for the member to end what a silent VM may hold', async () => {
    network.answer = Left({kind: 'noAnswer', reason: 'no answer in time'});
    claims.update([machine('vm-2')]);
    await pass(3_000);
    expect(claims.heldByOthers).to.equal(undefined);
    await pass(500);
    expect(claims.heldByOthers).to.deep.equal([]);
  });

  it('asks anew one that was away or restarted', async () => {
    claims.update([machine('vm-2')]);
    await settle();
    claims.update([]);
    claims.update([machine('vm-2')]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    claims.update([machine('vm-2', 2)]);
    expect(claims.heldByOthers).to.equal(undefined);
    await settle();
    expect(network.asked).to.equal(3);
  });
});

function machine(name: string, incarnation = 1): VirtualMachine {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    incarnation,
    dataCentre: 'catania',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}
