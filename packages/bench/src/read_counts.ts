/** Number of reads that replicas and primaries have served. */
export interface ReadCounts {
  readonly byReplica: number;
  readonly byPrimary: number;
}

/** Sums the read counters in the metrics of the entry VMs at the addresses. */
export async function fetchReadCounts(
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
    byReplica: sumCounter(pages, 'replica'),
    byPrimary: sumCounter(pages, 'primary'),
  };
}

function sumCounter(pages: readonly string[], by: string): number {
  const pattern = new RegExp(
    `apricotlock_batches_total\\{by="${by}",purpose="read"\\} ([0-9]+)`,
  );
  return pages.reduce(
    (sum, page) => sum + Number(pattern.exec(page)?.[1] ?? 0),
    0,
  );
}
