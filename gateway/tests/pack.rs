//! Tests of the compressed updates that are encoded once for all peers.

use decision::gateway::era::Era;
use decision::gateway::fleet::{Instance, Phase};
use decision::prelude::*;
use gateway::mirror::Update;
use gateway::port::{Changes, Entry, Item, Kind, Object};
use gateway::relay::pack::{Error, Packer, append_sequences, is_large, read_sequences, unpack};

fn update(revision: u64, count: u64, is_whole: bool) -> Update {
    let item = |index: u64| Item {
        name: format!("e{index:05}").into(),
        revision,
        object: Object::Entry(Entry {
            address: ([10, 0, 0, 1], 8_000).into(),
            failure_domain: "a".to_owned(),
            millicores: 250,
        }),
    };
    let items: Vec<Item> = (0..count).map(item).collect();
    match is_whole {
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
    let list = [update(7, 3_000, true)];
    let bytes = Packer::default().pack(Era::default(), &list).expect("the updates can be packed");
    let plain_len = rmp_serde::to_vec(&list).expect("the updates can be encoded").len();
    assert!(bytes.len() * 4 < plain_len, "{} of {plain_len} bytes", bytes.len());
    let unpacked = unpack(&bytes).expect("the updates can be unpacked");
    let names = |updates: &[Update]| -> Vec<String> {
        let lists = updates.iter().filter_map(|it| it.list.as_ref());
        lists.flatten().map(|it| format!("{} {}", it.name, it.revision)).collect()
    };
    assert_eq!(names(&unpacked), names(&list));
}

#[test]
fn a_list_is_packed_once_for_all_and_anew_when_it_has_changed() {
    let packer = Packer::default();
    let pack =
        |update: Update| packer.pack(Era::default(), &[update]).expect("the updates can be packed");
    let (first, second) = (pack(update(7, 100, true)), pack(update(7, 100, true)));
    assert_eq!(first.as_ptr(), second.as_ptr());
    let later = pack(update(8, 101, true));
    assert_eq!(unpack(&later).expect("the updates can be unpacked")[0].changes.revision, 8);
    // Changes that end at the same revision differ with the revision of the peer.
    let (few, more) = (pack(update(8, 1, false)), pack(update(8, 2, false)));
    assert_ne!(few, more);
}

/// Returns an update with one instance that has registered four times.
fn instance_update() -> Update {
    let instance = Instance {
        id: "i1".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 8_000).into(),
        failure_domain: "a".into(),
        phase: Phase::Ready,
        slots: 4,
        warmup_left: Duration::ZERO,
        fabric_domain: None,
        staged: Vec::new(),
        model: None,
        member: None,
        incarnation: 1,
        sequence: Some(4),
    };
    let object = Object::Instance(Box::new(instance));
    let put = vec![Item { name: "i1".into(), revision: 7, object }];
    let changes = Changes { revision: 7, put, ..Changes::default() };
    Update { kind: Kind::Instances, list: None, changes }
}

fn sequence_of(updates: &[Update]) -> Option<u64> {
    match &updates[0].changes.put[0].object {
        Object::Instance(instance) => instance.sequence,
        _ => None,
    }
}

#[test]
fn the_sequence_of_an_instance_comes_out_as_it_went_in() {
    let packed = Packer::default().pack(Era(1), &[instance_update()]);
    let unpacked = unpack(&packed.expect("the updates can be packed"));
    assert_eq!(sequence_of(&unpacked.expect("the updates can be unpacked")), Some(4));
}

/// Earlier builds decode the first value and ignore what follows; they append nothing.
#[test]
fn builds_without_sequences_read_and_are_read() {
    let updates = [instance_update()];
    let mut encoded = rmp_serde::to_vec(&updates).expect("the updates can be encoded");
    let earlier = encoded.clone();
    append_sequences(&mut encoded, &updates).expect("the sequences can be encoded");
    let read: Vec<Update> = rmp_serde::from_slice(&encoded).expect("an earlier build reads them");
    assert_eq!(sequence_of(&read), None);
    let mut read: Vec<Update> = rmp_serde::from_slice(&earlier).expect("updates");
    assert!(read_sequences(&[], &mut read).is_ok());
    assert_eq!(sequence_of(&read), None);
    assert!(read_sequences(b"\x93\x01", &mut read).is_err());
}

#[test]
fn only_long_lists_are_packed() {
    assert!(is_large(&[update(1, 0, true), update(1, 64, true)]));
    assert!(!is_large(&[update(1, 63, true)]) && !is_large(&[update(1, 900, false)]));
}

#[test]
fn what_is_no_packed_list_is_an_error() {
    assert!(matches!(unpack(b"\x00nonsense"), Err(Error::Compress(_))));
    let packed = Packer::default()
        .pack(Era::default(), &[update(1, 100, true)])
        .expect("the updates can be packed");
    assert!(unpack(&packed[..packed.len() / 2]).is_err());
}
