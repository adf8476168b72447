"""Resources that operators configure: types, validation and storage."""
