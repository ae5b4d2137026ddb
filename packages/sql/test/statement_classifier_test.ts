import {expect} from 'chai';
import {StatementClassifier} from '../src/index.js';

describe('StatementClassifier', () => {
  let classifier: StatementClassifier;

  before(async () => {
    classifier = await StatementClassifier.create();
  });

  function kindsOf(text: string): readonly string[] {
    const query = classifier.classify(text);
    if (query.kind === 'unparsed') return ['unparsed'];
    return query.statements.map(statement => statement.kind);
  }

  describe('classifies as read', () => {
    for (const text of [
      'SELECT 1',
      'SELECT a, count(*) FROM holds WHERE b = $1 GROUP BY a',
      'WITH x AS (SELECT 1) SELECT * FROM x',
      'SELECT pg_catalog.lower(a) FROM holds',
    ]) {
      it(text, () => expect(kindsOf(text)).to.deep.equal(['read']));
    }
  });

  describe('classifies as write', () => {
    for (const text of [
      'SELECT * FROM holds FOR UPDATE',
      'SELECT * FROM (SELECT * FROM holds FOR SHARE) AS locked',
      'WITH x AS (DELETE FROM holds RETURNING *) SELECT * FROM x',
      "SELECT nextval('s')",
      'SELECT public.count(1)',
      'SELECT * INTO other FROM holds',
      'INSERT INTO holds VALUES (1)',
      'CREATE TABLE holds (id text)',
    ]) {
      it(text, () => expect(kindsOf(text)).to.deep.equal(['write']));
    }
  });

  describe('transactions', () => {
    it('recognizes whether a transaction is read-only', () => {
      expect(classifier.classify('BEGIN READ ONLY')).to.deep.equal({
        kind: 'parsed',
        statements: [{kind: 'begin', options: {readOnly: true}}],
      });
      expect(classifier.classify('BEGIN READ WRITE')).to.deep.equal({
        kind: 'parsed',
        statements: [{kind: 'begin', options: {readOnly: false}}],
      });
    });

    it('classifies every statement of a query text', () => {
      expect(kindsOf('BEGIN; INSERT INTO a VALUES (1); COMMIT')).to.deep.equal([
        'begin',
        'write',
        'commit',
      ]);
    });
  });

  describe('settings', () => {
    it('recognizes a setting of the proxy', () => {
      expect(
        classifier.classify("SET apricotlock.session = 'x'"),
      ).to.deep.equal({
        kind: 'parsed',
        statements: [
          {kind: 'setProxySetting', name: 'apricotlock.session', value: 'x'},
        ],
      });
    });

    it('reports what needs a dedicated session as unsupported', () => {
      for (const text of [
        'COPY a FROM STDIN',
        'DISCARD PLANS',
        'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
        "SET TIME ZONE INTERVAL '1' HOUR TO MINUTE",
      ]) {
        expect(kindsOf(text)).to.deep.equal(['unsupported']);
      }
    });

    it('reads the values of a database setting', () => {
      expect(classifier.classify("SET search_path = a, 'B'")).to.deep.equal({
        kind: 'parsed',
        statements: [
          {kind: 'setSession', name: 'search_path', values: ['a', 'B']},
        ],
      });
      expect(
        kindsOf('RESET search_path; RESET ALL; DISCARD ALL'),
      ).to.deep.equal(['setSession', 'resetSession', 'discardAll']);
    });

    it('classifies SHOW of a primary-only setting as write', () => {
      expect(kindsOf('SHOW transaction_read_only')).to.deep.equal(['write']);
      expect(kindsOf('SHOW server_version')).to.deep.equal(['read']);
    });
  });

  it('returns no statements for a text without any', () => {
    for (const text of ['', ' ', ';', '-- nothing']) {
      expect(kindsOf(text)).to.deep.equal([]);
    }
  });

  it('reports a text that the parser rejects as unparsed', () => {
    expect(kindsOf('SELEC 1')).to.deep.equal(['unparsed']);
  });
});
