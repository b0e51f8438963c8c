//! Authenticated datagrams, each accepted once.

use tansyjunction_fellows::seal::{DatagramSealer, Keys, RejectReason};

fn keys(bytes: &[&str]) -> Keys {
    let lines: Vec<String> = bytes.iter().map(|byte| byte.repeat(32)).collect();
    Keys::read(&lines.join("\n")).expect("keys")
}

fn pair() -> (DatagramSealer, DatagramSealer) {
    let keys = keys(&["07"]);
    (
        DatagramSealer::new(keys.clone(), "a", 5, 1_000_000, 2_000_000),
        DatagramSealer::new(keys, "b", 9, 77_000_000, 2_000_000),
    )
}

#[test]
pub fn what_is_sealed_opens_once_and_nothing_else_does() {
    let (mut a, mut b) = pair();
    let first = a.seal(1_000_000, b"one");
    let opened = b.open(80_000_000, &first).expect("it is well");
    assert_eq!((opened.0.from.as_str(), opened.0.life, opened.1, opened.2), ("a", 5, &b"one"[..], 0));
    assert_eq!(b.open(80_000_000, &first).err(), Some(RejectReason::Again));
    for place in 0..first.len() {
        let mut bent = first.clone();
        bent[place] ^= 1;
        assert_eq!(b.open(80_000_000, &bent).err(), Some(RejectReason::Unsealed));
        assert_eq!(b.open(80_000_000, &first[..place]).err(), Some(RejectReason::Unsealed));
    }
    b.set_keys(keys(&["08", "07"]));
    assert!(b.open(80_000_000, &a.seal(1_000_000, b"two")).is_ok());
    b.set_keys(keys(&["08"]));
    assert_eq!(b.open(80_000_000, &a.seal(1_000_000, b"three")).err(), Some(RejectReason::Unsealed));
}

#[test]
pub fn reordered_ones_count_and_old_ones_do_not() {
    let (mut a, mut b) = pair();
    let sealed: Vec<Vec<u8>> = (0..100).map(|n| a.seal(1_000_000 + n * 10_000, &[n as u8])).collect();
    assert!(b.open(80_000_000, &sealed[70]).is_ok());
    assert!(b.open(80_000_000, &sealed[99]).is_ok());
    assert!(b.open(80_000_000, &sealed[98]).is_ok());
    assert_eq!(b.open(80_000_000, &sealed[70]).err(), Some(RejectReason::Again));
    assert_eq!(b.open(80_000_000, &sealed[30]).err(), Some(RejectReason::Again), "beyond the window");
    // The newest was sent at 1.99 s; one sent then that arrives 3 s later is too old, 1 s later it is reported as such.
    let (lain, longer) = (a.seal(2_000_000, b"x"), a.seal(2_000_000, b"y"));
    let late = b.open(81_010_000, &lain).expect("within the bound").2;
    assert!((950_000..=1_300_000).contains(&late), "{late}");
    assert_eq!(b.open(84_000_000, &longer).err(), Some(RejectReason::Old));
    // Another incarnation of the name starts over and ends the previous one.
    let mut again = DatagramSealer::new(keys(&["07"]), "a", 6, 0, 2_000_000);
    assert!(b.open(84_000_000, &again.seal(0, b"")).is_ok());
    assert_eq!(b.open(84_000_000, &a.seal(2_100_000, b"")).err(), Some(RejectReason::Earlier));
}

#[test]
pub fn a_key_file_names_the_line_that_is_wrong() {
    let key = "0a".repeat(32);
    assert!(Keys::read(&format!("# old and new\n{key}\n\n{key}\n")).is_ok());
    for (text, said) in
        [("", "no key"), ("# none", "no key"), ("0a\n", "line 1"), (&format!("{key}\nzz{key}"), "line 2")]
    {
        assert!(Keys::read(text).err().is_some_and(|message| message.contains(said)), "{text}");
    }
    assert!(Keys::read(&"é".repeat(32)).is_err());
}
