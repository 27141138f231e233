//! Tests of the configuration file of an ingress process.

use stand_ins::process::ConfigFile;

/// An ingress that reloads its configuration must find the new text at the same path, and no files may remain
/// after a run.
#[test]
fn config_file_is_replaced_in_place_and_removed_on_drop() {
    let path = std::env::temp_dir().join(format!("stand-ins-{}.json", std::process::id()));
    let file = ConfigFile::create(&path, "old").unwrap();
    assert_eq!(file.path(), path);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "old");
    file.replace("new").unwrap();
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "new");
    drop(file);
    assert!(!path.exists() && !path.with_extension("new").exists());
}
