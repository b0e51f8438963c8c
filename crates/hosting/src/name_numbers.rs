//! Maps names to small numbers. The numbers of forgotten names are reused.

use std::collections::HashMap;

/// Numbers names in the order of their first use; numbers of forgotten names are reused first.
#[derive(Default)]
pub struct NameNumbers {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl NameNumbers {
    /// The number of a name, assigned if it is new.
    pub fn number_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.free.pop().unwrap_or(self.names.len());
        match self.names.get_mut(index) {
            Some(old) => *old = name.into(),
            None => self.names.push(name.into()),
        }
        self.by_name.insert(name.into(), index);
        index
    }

    /// Forgets a name, so that its number can be reused.
    pub fn forget(&mut self, index: usize) {
        if self.by_name.remove(&self.names[index]).is_some() {
            self.free.push(index);
        }
    }

    /// The number of a known name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The name with this number. Panics if the number was never assigned.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

#[cfg(test)]
mod tests {
    use super::NameNumbers;

    #[test]
    fn a_forgotten_names_number_goes_to_the_next() {
        let mut names = NameNumbers::default();
        assert_eq!(["a", "b", "a", "c"].map(|name| names.number_of(name)), [0, 1, 0, 2]);
        names.forget(1);
        names.forget(1);
        assert_eq!(
            (names.find("b"), names.number_of("d"), names.number_of("e"), names.name(1)),
            (None, 1, 3, "d")
        );
    }
}
