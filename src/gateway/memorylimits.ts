/** Share of a process's memory for requests and responses; the program and freed buffers need the rest. */
const BUFFER_SHARE = 0.125

/** Share of a process's memory for the connections of callers. */
const CONNECTION_SHARE = 0.125

/** Memory of a connection that carries no request, in bytes; measured 9 KB, the rest is for small heads. */
const CONNECTION_BYTES = 16 << 10

/** Share of a process's descriptors for the connections of callers; those to servers and other hosts need the rest. */
const DESCRIPTOR_SHARE = 0.6

/**
 * @param memoryBytes - memory that the process may use, in bytes
 * @returns memory for all requests and responses together, in bytes
 */
export function computeBufferBytes (memoryBytes: number): number {
  return BUFFER_SHARE * memoryBytes
}

/**
 * @param memoryBytes - memory that the process may use, in bytes
 * @param maxDescriptors - descriptors that the process may use
 * @returns the greatest number of connections of callers
 */
export function computeMaxConnections (memoryBytes: number, maxDescriptors: number): number {
  return Math.floor(Math.min(CONNECTION_SHARE * memoryBytes / CONNECTION_BYTES, DESCRIPTOR_SHARE * maxDescriptors))
}
