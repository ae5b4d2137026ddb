/**
 * A node of the syntax tree. Where the parser wraps a node, the wrapper's only
 * key is the type of the node.
 */
export type SyntaxNode = Readonly<Record<string, unknown>>;

/** Returns whether `node` wraps a node of the given type. */
export function isNode(node: SyntaxNode, type: string): boolean {
  return type in node;
}

/** Returns the object in the field `name`, or an empty object. */
export function fieldOf(
  node: SyntaxNode | undefined,
  name: string,
): SyntaxNode {
  const value = node?.[name];
  return isObject(value) ? value : {};
}

/** Returns the text of a wrapped String node, or an empty string. */
export function stringOf(node: SyntaxNode): string {
  return String(fieldOf(node, 'String')['sval'] ?? '');
}

/** Returns whether `predicate` holds for `root` or any node below it. */
export function someNode(
  root: SyntaxNode,
  predicate: (node: SyntaxNode) => boolean,
): boolean {
  const pending: unknown[] = [root];
  while (pending.length > 0) {
    const value = pending.pop();
    if (Array.isArray(value)) {
      pending.push(...(value as unknown[]));
    } else if (isObject(value)) {
      if (predicate(value)) return true;
      pending.push(...Object.values(value));
    }
  }
  return false;
}

function isObject(value: unknown): value is SyntaxNode {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
