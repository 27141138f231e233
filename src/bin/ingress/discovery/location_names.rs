//! Maps the names of zones and machine types in endpoint lists to their indices in the settings.

/// The names of zones and machine types in the order of the settings.
pub struct LocationNames {
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
}

impl LocationNames {
    /// Returns the index of a zone, or `u8::MAX` if the settings do not list it or the entry names none.
    ///
    /// All unknown zones therefore count as one zone: where the backends of a zone share idempotency keys,
    /// backends in unknown zones are assumed to share them too.
    pub fn zone(&self, name: Option<&str>) -> u8 {
        position(&self.zones, name).and_then(|index| u8::try_from(index).ok()).unwrap_or(u8::MAX)
    }

    /// Returns the index of a machine type, or `u16::MAX` if the settings do not list it or the entry names
    /// none.
    pub fn machine_type(&self, name: Option<&str>) -> u16 {
        position(&self.machine_types, name).and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX)
    }
}

/// Returns the index of `wanted` in a list of names.
fn position(names: &[String], wanted: Option<&str>) -> Option<usize> {
    let wanted = wanted?;
    names.iter().position(|name| name == wanted)
}
