import {expect} from 'chai';
import {ManualTimerService} from '@apricotlock/timer';
import {AnnouncedWaits} from '../src/announced_waits.js';

const ON_TIME = {priority: 2, late: false};
const LATE = {priority: 2, late: true};
const IMPORTANT = {priority: 1, late: true};

describe('AnnouncedWaits', () => {
  let timer: ManualTimerService;
  let waits: AnnouncedWaits;

  beforeEach(() => {
    timer = ManualTimerService.create();
    waits = AnnouncedWaits.create(timer);
  });

  it('knows nothing of a member that has refused nothing', () => {
    expect(waits.knownRefusal('a', ON_TIME, 0)).to.equal(undefined);
  });

  it('counts an announced wait down', () => {
    waits.recordRefusal('a', ON_TIME, 300);
    timer.advance(100);
    expect(waits.knownRefusal('a', ON_TIME, 199)).to.equal(300);
    expect(waits.knownRefusal('a', ON_TIME, 200)).to.equal(undefined);
    expect(waits.knownRefusal('b', ON_TIME, 0)).to.equal(undefined);
  });

  it('does not hold for a statement that is more urgent', () => {
    waits.recordRefusal('a', LATE, 300);
    expect(waits.knownRefusal('a', LATE, 0)).to.equal(300);
    expect(waits.knownRefusal('a', ON_TIME, 0)).to.equal(undefined);
    expect(waits.knownRefusal('a', IMPORTANT, 0)).to.equal(undefined);
  });

  // The refusal of an organisation over its share would refuse all others here.
  it('holds only for the organisation whose statement was refused', () => {
    waits.recordRefusal('a', ON_TIME, 300, 'large');
    expect(waits.knownRefusal('a', ON_TIME, 0, 'large')).to.equal(300);
    expect(waits.knownRefusal('a', ON_TIME, 0, 'small')).to.equal(undefined);
    expect(waits.knownRefusal('a', ON_TIME, 0)).to.equal(undefined);
    waits.recordAnswer('a', 20, 'small');
    expect(waits.knownRefusal('a', ON_TIME, 0, 'large')).to.equal(300);
  });

  // All held statements were sent, and refused, as soon as the wait fitted.
  it('lets one statement at a time find out whether the wait is over', () => {
    waits.recordRefusal('a', ON_TIME, 300);
    timer.advance(200);
    const sent = (count: number) => {
      let allowed = 0;
      for (let index = 0; index < count; index++) {
        if (waits.knownRefusal('a', ON_TIME, 150) === undefined) allowed += 1;
      }
      return allowed;
    };
    expect(sent(10)).to.equal(1);
    timer.advance(40);
    expect(sent(10)).to.equal(1);
    timer.advance(60);
    expect(sent(10)).to.equal(10);
  });

  it('ends when the member answers with a shorter wait', () => {
    waits.recordRefusal('a', ON_TIME, 300);
    waits.recordAnswer('a', 400);
    expect(waits.knownRefusal('a', ON_TIME, 0)).to.equal(300);
    waits.recordAnswer('a', 20);
    expect(waits.knownRefusal('a', ON_TIME, 0)).to.equal(undefined);
  });
});
