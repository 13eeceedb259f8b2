use super::*;

#[test]
fn every_row_stands_at_the_place_of_its_kind() {
    for (index, row) in ERROR_TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "row {}", row.code);
    }
}

#[test]
fn every_code_is_found_again() {
    for row in ERROR_TABLE {
        assert_eq!(ErrorKind::from_code(row.code), Some(row.kind));
    }
}
