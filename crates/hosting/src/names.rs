//! Names given small numbers at the door, which go to others once their names are forgotten.

use std::collections::HashMap;

/// Numbers names in the order they were first met, with the numbers of forgotten ones first.
#[derive(Default)]
pub struct Names {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
    free: Vec<usize>,
}

impl Names {
    pub fn of(&mut self, name: &str) -> usize {
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

    /// Gives a name's number to whoever comes next.
    pub fn forget(&mut self, index: usize) {
        if self.by_name.remove(&self.names[index]).is_some() {
            self.free.push(index);
        }
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

#[cfg(test)]
mod tests {
    use super::Names;

    #[test]
    fn a_forgotten_names_number_goes_to_the_next() {
        let mut names = Names::default();
        assert_eq!(["a", "b", "a", "c"].map(|name| names.of(name)), [0, 1, 0, 2]);
        names.forget(1);
        names.forget(1);
        assert_eq!((names.find("b"), names.of("d"), names.of("e"), names.name(1)), (None, 1, 3, "d"));
    }
}
