//! Growth of receive buffers.

/// Capacity up to which a buffer grows by doubling, and by which it grows from then on, in bytes.
const MAX_GROWTH_STEP_BYTES: usize = 16 * 1024;

/// Appends received bytes to a buffer. A long buffer grows in steps of constant size, since the unused half
/// of a doubled one would count against the memory limit.
pub fn extend_in_steps(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let step = buffer.capacity().min(MAX_GROWTH_STEP_BYTES);
        let capacity = needed.max(buffer.capacity() + step);
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}
