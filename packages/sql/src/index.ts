/**
 * Classifies SQL statements for the proxy, using PostgreSQL's own parser.
 *
 * @packageDocumentation
 */
export {type Statement, type TransactionOptions} from './statement.js';
export {
  StatementClassifier,
  type ClassifiedQuery,
} from './statement_classifier.js';
export {fieldOf, isNode, stringOf, type SyntaxNode} from './syntax_tree.js';
