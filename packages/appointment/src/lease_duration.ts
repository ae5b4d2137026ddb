/** How long a primary lease lasts, counted from the request of the entry VM. */
export const LEASE_MILLISECONDS = 1_000;
