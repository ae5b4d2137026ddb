/** Reads that a system has served, by who served them. */
export interface ReadCounts {
  readonly byReplica: number;
  readonly byPrimary: number;
}

/** Adds up what the entry VMs' metrics say, by operators' address. */
export async function readCounts(
  operatorAddresses: readonly string[],
  operatorToken: string,
): Promise<ReadCounts> {
  const pages = await Promise.all(
    operatorAddresses.map(async address => {
      const response = await fetch(`http://${address}/metrics`, {
        headers: {authorization: `Bearer ${operatorToken}`},
      });
      return response.text();
    }),
  );
  return {
    byReplica: total(pages, 'replica'),
    byPrimary: total(pages, 'primary'),
  };
}

function total(pages: readonly string[], by: string): number {
  const pattern = new RegExp(
    `apricotlock_batches_total\\{by="${by}",purpose="read"\\} ([0-9]+)`,
  );
  return pages.reduce(
    (sum, page) => sum + Number(pattern.exec(page)?.[1] ?? 0),
    0,
  );
}
