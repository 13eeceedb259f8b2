use super::*;

#[test]
fn every_row_is_at_the_index_of_its_kind() {
    for (index, row) in ERROR_TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "row {}", row.code);
    }
}

#[test]
fn every_code_maps_back_to_its_kind() {
    for row in ERROR_TABLE {
        assert_eq!(ErrorKind::from_code(row.code), Some(row.kind));
    }
}
