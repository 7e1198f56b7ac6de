//! Whole lists that are packed once for all peers that ask.

use gateway::mirror::Update;
use gateway::port::{Changes, Entry, Item, Kind, Object};
use gateway::relay::pack::{Error, Packer, is_large, unpack};

fn news(revision: u64, count: u64, whole: bool) -> Update {
    let item = |place: u64| Item {
        name: format!("e{place:05}").into(),
        revision,
        object: Object::Entry(Entry {
            address: ([10, 0, 0, 1], 8_000).into(),
            failure_domain: "a".to_owned(),
            millicores: 250,
        }),
    };
    let items: Vec<Item> = (0..count).map(item).collect();
    match whole {
        true => Update {
            kind: Kind::Entries,
            list: Some(items),
            changes: Changes { revision, ..Changes::default() },
        },
        false => Update {
            kind: Kind::Entries,
            list: None,
            changes: Changes { revision, put: items, ..Changes::default() },
        },
    }
}

#[test]
fn a_list_comes_out_as_it_went_in_and_is_much_smaller() {
    let list = [news(7, 3_000, true)];
    let bytes = Packer::default().pack(&list).expect("it can be packed");
    let plain = rmp_serde::to_vec(&list).expect("it can be written").len();
    assert!(bytes.len() * 4 < plain, "{} of {plain} bytes", bytes.len());
    let told = unpack(&bytes).expect("it can be unpacked");
    let names = |news: &[Update]| -> Vec<String> {
        let lists = news.iter().filter_map(|it| it.list.as_ref());
        lists.flatten().map(|it| format!("{} {}", it.name, it.revision)).collect()
    };
    assert_eq!(names(&told), names(&list));
}

#[test]
fn a_list_is_packed_once_for_all_and_anew_when_it_has_changed() {
    let packer = Packer::default();
    let pack = |news: Update| packer.pack(&[news]).expect("it can be packed");
    let (first, again) = (pack(news(7, 100, true)), pack(news(7, 100, true)));
    assert_eq!(first.as_ptr(), again.as_ptr());
    let later = pack(news(8, 101, true));
    assert_eq!(unpack(&later).expect("it can be unpacked")[0].changes.revision, 8);
    // Changes differ from asker to asker, though they end at the same revision.
    let (few, more) = (pack(news(8, 1, false)), pack(news(8, 2, false)));
    assert_ne!(few, more);
}

#[test]
fn only_long_lists_are_packed() {
    assert!(is_large(&[news(1, 0, true), news(1, 64, true)]));
    assert!(!is_large(&[news(1, 63, true)]) && !is_large(&[news(1, 900, false)]));
}

#[test]
fn what_is_no_packed_list_is_an_error() {
    assert!(matches!(unpack(b"\x00nonsense"), Err(Error::Compress(_))));
    let packed = Packer::default().pack(&[news(1, 100, true)]).expect("it can be packed");
    assert!(unpack(&packed[..packed.len() / 2]).is_err());
}
