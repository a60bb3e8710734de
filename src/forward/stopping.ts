/** Reason of refusals because this host stops. */
export const STOPPING = 'this host stops'
