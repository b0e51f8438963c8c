//! Operation without faults.

use crate::net::*;

#[test]
fn strangers_are_seated_and_all_agree() {
    for seats in [1, 3, 5] {
        let mut net = Net::new(seats as u64, terms(seats), seats, 2);
        net.gathered(seats);
        let values: Vec<u64> = (0..20).map(|n| net.propose(n % (seats + 2), 30)).collect();
        net.run_for(2 * SECOND);
        assert_eq!(net.judge.broken, [], "{seats} seats");
        for value in values {
            assert!(net.judge.acknowledged.contains_key(&value), "{value} of {seats} seats");
        }
        net.heal();
        assert_eq!(net.judge.broken, [], "{seats} seats");
    }
}
