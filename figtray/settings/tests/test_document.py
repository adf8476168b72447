import msgspec

from figtray.settings import document


class TestPage:
    def test_page_agrees(self):
        assert document.PAGE.read_text() == document.render()

    # An integer without a bound would accept a value that exhausts memory.
    def test_every_number_is_bounded_and_has_a_meaning(self):
        for _, struct in document.SECTIONS:
            meanings = document.descriptions(struct)
            for field in msgspec.inspect.type_info(struct).fields:
                if isinstance(field.type, msgspec.inspect.IntType):
                    assert field.type.ge is not None, field.name
                    assert field.type.le is not None, field.name
            assert set(meanings) <= set(struct.__struct_fields__)
