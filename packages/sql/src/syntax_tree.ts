/** A node of the parser's tree: an object whose one key may name its type. */
export type SyntaxNode = Readonly<Record<string, unknown>>;

/** Whether `node` is a wrapper of a node of type `type`. */
export function isNode(node: SyntaxNode, type: string): boolean {
  return type in node;
}

/** The object under `name`, or an empty one. */
export function fieldOf(
  node: SyntaxNode | undefined,
  name: string,
): SyntaxNode {
  const value = node?.[name];
  return isObject(value) ? value : {};
}

/** The text of a String node. */
export function stringOf(node: SyntaxNode): string {
  return String(fieldOf(node, 'String')['sval'] ?? '');
}

/** Whether `test` holds for `root` or any node below it. */
export function someNode(
  root: SyntaxNode,
  test: (node: SyntaxNode) => boolean,
): boolean {
  const open: unknown[] = [root];
  while (open.length > 0) {
    const value = open.pop();
    if (Array.isArray(value)) {
      open.push(...(value as unknown[]));
    } else if (isObject(value)) {
      if (test(value)) return true;
      open.push(...Object.values(value));
    }
  }
  return false;
}

function isObject(value: unknown): value is SyntaxNode {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
