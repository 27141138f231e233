//! Maps the names of zones and machine types in endpoint lists to their numbers in the settings.

/// The names of zones and machine types in the order of the settings.
pub struct LocationNames {
    /// By the zone's number.
    pub zones: Vec<String>,
    /// By the machine type's number.
    pub machine_types: Vec<String>,
}

impl LocationNames {
    /// The number of a zone; `u8::MAX` if the settings do not name it, or the entry has none.
    ///
    /// So all zones that are not known count as one: where backends of a zone share idempotency keys, those
    /// of unknown zones are taken to share them too.
    pub fn zone(&self, name: Option<&str>) -> u8 {
        position(&self.zones, name).and_then(|index| u8::try_from(index).ok()).unwrap_or(u8::MAX)
    }

    /// The number of a machine type; `u16::MAX` if the settings do not name it, or the entry has none.
    pub fn machine_type(&self, name: Option<&str>) -> u16 {
        position(&self.machine_types, name).and_then(|index| u16::try_from(index).ok()).unwrap_or(u16::MAX)
    }
}

/// The index of a name in a list.
fn position(names: &[String], wanted: Option<&str>) -> Option<usize> {
    let wanted = wanted?;
    names.iter().position(|name| name == wanted)
}
